// Hashes of stored objects: the SHA-256 of the content in lower-case
// hexadecimal.
#ifndef SRC_CONTENT_HASH_H_
#define SRC_CONTENT_HASH_H_

#include <string_view>

#include "src/ids.h"

namespace acacia {

ObjectHash HashContent(std::string_view bytes);

}  // namespace acacia

#endif  // SRC_CONTENT_HASH_H_
