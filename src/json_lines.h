// Where each value of a JSON text stands: maps a path such as
// "routes[3].service" to its line. Also the one place that finds syntax errors
// and keys that stand twice in an object.
#ifndef SRC_JSON_LINES_H_
#define SRC_JSON_LINES_H_

#include <string>
#include <string_view>
#include <unordered_map>

#include "src/user_error.h"

namespace acacia {

class JsonLines {
 public:
  // Reads JSON with comments and trailing commas. `file` names it in errors.
  JsonLines(std::string file, std::string_view text);

  // A syntax error ends the reading, so it is the last one.
  const UserErrors& Errors() const { return this->errors; }
  bool HasSyntaxError() const { return this->has_syntax_error; }

  // The line of the value, or of the nearest value around it; from 1.
  int LineOf(std::string path) const;
  const std::string& File() const { return this->file; }
  // An error at a path of this text. What the user wrote is cut to a length
  // that can be read, on one line.
  UserError MakeError(const std::string& path,
                      const std::string& message,
                      std::string hint) const;

 private:
  std::string file;
  std::unordered_map<std::string, int> lines;
  UserErrors errors;
  bool has_syntax_error = false;
};

}  // namespace acacia

#endif  // SRC_JSON_LINES_H_
