// Names objects by their content: lower-case hexadecimal SHA-256.
#ifndef SRC_CONTENT_HASH_H_
#define SRC_CONTENT_HASH_H_

#include <string_view>

#include "src/ids.h"

namespace acacia {

ObjectHash HashContent(std::string_view bytes);

}  // namespace acacia

#endif  // SRC_CONTENT_HASH_H_
