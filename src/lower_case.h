// Conversion to ASCII lower case, for header names and hosts.
#ifndef SRC_LOWER_CASE_H_
#define SRC_LOWER_CASE_H_

#include <boost/algorithm/string/case_conv.hpp>
#include <locale>
#include <string>
#include <string_view>

namespace acacia {

inline std::string LowerCase(std::string_view text) {
  return boost::algorithm::to_lower_copy(std::string(text),
                                         std::locale::classic());
}

}  // namespace acacia

#endif  // SRC_LOWER_CASE_H_
