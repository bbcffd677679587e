// A mistake in what a user wrote: where it is, what is wrong and what to do
// about it. Mistakes are collected and all shown at once.
#ifndef SRC_USER_ERROR_H_
#define SRC_USER_ERROR_H_

#include <string>
#include <vector>

namespace acacia {

struct UserError {
  // The file, as the user named it.
  std::string file;
  // Line from 1; 0 where only the field is known.
  int line = 0;
  // For example "routes[3].service"; may be empty when the line is known.
  std::string field;
  std::string message;
  // What to do; may be empty.
  std::string hint;

  // "file:line: field: message (hint)".
  std::string Describe() const;
};

using UserErrors = std::vector<UserError>;

std::string DescribeAll(const UserErrors& errors);

// Keeps one error per field, the first found, which the others follow from;
// sorted by file and line.
UserErrors OnePerField(const UserErrors& errors);

}  // namespace acacia

#endif  // SRC_USER_ERROR_H_
