// Validation of the names that operators give to services, routes, instances,
// failure domains and the like.
#ifndef SRC_NAME_H_
#define SRC_NAME_H_

#include <string>
#include <string_view>

namespace acacia {

inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr char kNameHint[] =
    "use 1 to 128 letters, digits, '.', '_' and '-', beginning with a letter "
    "or digit";

// Returns true if `text` has only ASCII letters, digits and characters of
// `punctuation`.
bool HasOnlyAlphanumericsOr(std::string_view text,
                            std::string_view punctuation);

// Returns true if `text` obeys the rule in kNameHint.
bool IsValidName(const std::string& text);

}  // namespace acacia

#endif  // SRC_NAME_H_
