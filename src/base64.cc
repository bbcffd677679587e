#include "src/base64.h"

#include <openssl/evp.h>

namespace acacia {
namespace {

// Each group of four characters encodes three bytes.
constexpr std::size_t kGroupChars = 4;
constexpr std::size_t kGroupBytes = 3;

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  std::string text(
      (bytes.size() + kGroupBytes - 1) / kGroupBytes * kGroupChars + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kGroupChars != 0) {
    return std::nullopt;
  }
  std::string bytes(text.size() / kGroupChars * kGroupBytes, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // OpenSSL decodes the padding to zero bytes, which are cut off.
  std::size_t padding = 0;
  while (padding < 2 && text.size() > padding &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

}  // namespace acacia
