// A mistake in a user's input: where it is, what is wrong and what to do about
// it. Mistakes are collected and shown together.
#ifndef SRC_USER_ERROR_H_
#define SRC_USER_ERROR_H_

#include <string>
#include <vector>

namespace acacia {

struct UserError {
  // The file, as the user named it.
  std::string file;
  // Line number from 1; 0 when unknown.
  int line = 0;
  // For example "routes[3].service"; may be empty when the line is known.
  std::string field;
  std::string message;
  // What the user should do; may be empty.
  std::string hint;

  // "file:line: field: message (hint)".
  std::string Describe() const;
};

using UserErrors = std::vector<UserError>;

// One line per error.
std::string DescribeAll(const UserErrors& errors);

// Keeps only the first error found for each field, as the others are often its
// consequences. Sorted by file and line.
UserErrors OnePerField(const UserErrors& errors);

}  // namespace acacia

#endif  // SRC_USER_ERROR_H_
