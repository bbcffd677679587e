#include "src/content_hash.h"

#include <openssl/sha.h>

#include <array>
#include <string>

namespace acacia {

ObjectHash HashContent(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : digest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 0xf];
  }
  return ObjectHash(text);
}

}  // namespace acacia
