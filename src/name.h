// The names that operators give to services, routes, instances, failure domains
// and the like.
#ifndef SRC_NAME_H_
#define SRC_NAME_H_

#include <string>
#include <string_view>

namespace acacia {

inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr char kNameHint[] =
    "use 1 to 128 letters, digits, '.', '_' and '-', beginning with a letter "
    "or digit";

// Holds only ASCII letters, digits and the given punctuation.
bool IsMadeOf(std::string_view text, std::string_view punctuation);

bool IsName(const std::string& text);

}  // namespace acacia

#endif  // SRC_NAME_H_
