// Maps the path of each value of a JSON text, such as "routes[3].service", to
// its line. Also reports syntax errors and duplicate keys, which no other part
// of the JSON reading does.
#ifndef SRC_JSON_LINES_H_
#define SRC_JSON_LINES_H_

#include <string>
#include <string_view>
#include <unordered_map>

#include "src/user_error.h"

namespace acacia {

class JsonLines {
 public:
  // Reads JSON; comments and trailing commas are allowed. `file` is the name
  // for errors.
  JsonLines(std::string file, std::string_view text);

  // Reading stops at a syntax error, so that is the last one.
  const UserErrors& Errors() const { return this->errors; }
  bool HasSyntaxError() const { return this->has_syntax_error; }
  // The text is the beginning of JSON, or empty.
  bool IsIncomplete() const { return this->is_incomplete; }

  // The line of the value, counted from 1. For an unknown path, the line of the
  // nearest enclosing value; 0 when nothing could be read.
  int LineOf(std::string path) const;
  const std::string& File() const { return this->file; }
  // An error at a path of this text. The path and the message, which may quote
  // the user's text, are truncated to a readable length, on one line.
  UserError MakeError(const std::string& path,
                      const std::string& message,
                      std::string hint) const;

 private:
  std::string file;
  std::unordered_map<std::string, int> lines;
  UserErrors errors;
  bool has_syntax_error = false;
  bool is_incomplete = false;
};

}  // namespace acacia

#endif  // SRC_JSON_LINES_H_
