// Base64 (RFC 4648, section 4), implemented with OpenSSL.
#ifndef SRC_BASE64_H_
#define SRC_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace acacia {

std::string EncodeBase64(std::string_view bytes);

// Returns nullopt when the text is not padded base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace acacia

#endif  // SRC_BASE64_H_
