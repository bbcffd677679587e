#include "src/json_lines.h"

#include <boost/json/basic_parser_impl.hpp>
#include <cctype>
#include <utility>
#include <vector>

namespace acacia {
namespace {

namespace json = boost::json;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kMaxQuotedBytes = 60;
constexpr std::size_t kMaxShownBytes = 300;
constexpr std::size_t kMaxDuplicateKeys = 100;

// Handles the parser's events. The parser is given the text line by line, so
// the current line is known at each event. Boost.JSON prescribes the on_...
// names.
class LineHandler {
 public:
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  bool on_document_begin(ErrorCode& /*error*/) { return true; }
  bool on_document_end(ErrorCode& /*error*/) { return true; }
  bool on_object_begin(ErrorCode& /*error*/) {
    return this->BeginContainer(false);
  }
  bool on_object_end(std::size_t /*n*/, ErrorCode& /*error*/) {
    return this->EndContainer();
  }
  bool on_array_begin(ErrorCode& /*error*/) {
    return this->BeginContainer(true);
  }
  bool on_array_end(std::size_t /*n*/, ErrorCode& /*error*/) {
    return this->EndContainer();
  }
  bool on_key_part(std::string_view part,
                   std::size_t /*n*/,
                   ErrorCode& /*error*/) {
    this->key += part;
    return true;
  }
  bool on_key(std::string_view part, std::size_t /*n*/, ErrorCode& /*error*/) {
    this->key += part;
    Container& object = this->containers.back();
    object.member =
        object.path.empty() ? this->key : object.path + "." + this->key;
    this->key.clear();
    return true;
  }
  bool on_string_part(std::string_view /*part*/,
                      std::size_t /*n*/,
                      ErrorCode& /*error*/) {
    return true;
  }
  bool on_string(std::string_view /*part*/,
                 std::size_t /*n*/,
                 ErrorCode& /*error*/) {
    return this->OnScalar();
  }
  bool on_number_part(std::string_view /*part*/, ErrorCode& /*error*/) {
    return true;
  }
  bool on_int64(std::int64_t /*value*/,
                std::string_view /*part*/,
                ErrorCode& /*error*/) {
    return this->OnScalar();
  }
  bool on_uint64(std::uint64_t /*value*/,
                 std::string_view /*part*/,
                 ErrorCode& /*error*/) {
    return this->OnScalar();
  }
  bool on_double(double /*value*/,
                 std::string_view /*part*/,
                 ErrorCode& /*error*/) {
    return this->OnScalar();
  }
  bool on_bool(bool /*value*/, ErrorCode& /*error*/) {
    return this->OnScalar();
  }
  bool on_null(ErrorCode& /*error*/) { return this->OnScalar(); }
  bool on_comment_part(std::string_view /*part*/, ErrorCode& /*error*/) {
    return true;
  }
  bool on_comment(std::string_view /*part*/, ErrorCode& /*error*/) {
    return true;
  }
  // NOLINTEND(readability-identifier-naming)

  int line = 0;
  std::unordered_map<std::string, int> lines;
  std::vector<std::pair<std::string, int>> duplicates;

 private:
  struct Container {
    std::string path;
    bool is_array = false;
    std::size_t count = 0;
    // The path of the current member of an object.
    std::string member;
  };

  // The path of the value that begins now. In an array, advances to the next
  // position.
  std::string TakeNextPath() {
    if (this->containers.empty()) {
      return "";
    }
    Container& around = this->containers.back();
    if (!around.is_array) {
      return around.member;
    }
    return around.path + "[" + std::to_string(around.count++) + "]";
  }

  std::string RecordLine() {
    std::string path = this->TakeNextPath();
    const bool is_new = this->lines.try_emplace(path, this->line).second;
    if (!is_new && this->duplicates.size() < kMaxDuplicateKeys) {
      this->duplicates.emplace_back(path, this->line);
    }
    return path;
  }

  bool OnScalar() {
    this->RecordLine();
    return true;
  }
  bool BeginContainer(bool is_array) {
    Container container;
    container.path = this->RecordLine();
    container.is_array = is_array;
    this->containers.push_back(std::move(container));
    return true;
  }
  bool EndContainer() {
    this->containers.pop_back();
    return true;
  }

  std::vector<Container> containers;
  std::string key;
};

json::parse_options LenientOptions() {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return options;
}

// At most kMaxShownBytes of the text, with control characters replaced so that
// it stays on one line.
std::string Truncate(std::string_view text) {
  std::string truncated(text.substr(0, kMaxShownBytes));
  for (char& c : truncated) {
    if (std::iscntrl(static_cast<unsigned char>(c)) != 0) {
      c = '?';
    }
  }
  return text.size() > kMaxShownBytes ? truncated + "..." : truncated;
}

// The first line with its line end.
std::string_view FirstLine(std::string_view text) {
  const std::size_t end = text.find('\n');
  return end == std::string_view::npos ? text : text.substr(0, end + 1);
}

// The hint for a syntax error in `line`.
std::string SyntaxErrorHint(std::string_view line) {
  while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
    line.remove_suffix(1);
  }
  const std::size_t begin = line.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return "the text ends here or a bracket is missing";
  }
  return "near: " + Truncate(line.substr(begin, kMaxQuotedBytes)) +
         "; look for a missing comma, quote or bracket here and just before";
}

}  // namespace

JsonLines::JsonLines(std::string file, std::string_view text)
    : file(std::move(file)) {
  json::basic_parser<LineHandler> parser(LenientOptions());
  LineHandler& handler = parser.handler();
  ErrorCode error;
  std::string_view line;
  while (!text.empty() && !error) {
    line = FirstLine(text);
    text.remove_prefix(line.size());
    ++handler.line;
    const std::size_t consumed =
        parser.write_some(true, line.data(), line.size(), error);
    if (!error && consumed < line.size()) {
      error = json::error::extra_data;
    }
  }
  if (!error) {
    parser.write_some(false, "", 0, error);
  }
  for (auto& [path, at] : handler.duplicates) {
    this->errors.push_back({this->file, at, Truncate(path),
                            "this field stands twice",
                            "remove one of the two"});
  }
  if (error) {
    this->has_syntax_error = true;
    this->is_incomplete = error == json::error::incomplete;
    this->errors.push_back({this->file, handler.line, "",
                            "not JSON: " + error.message(),
                            SyntaxErrorHint(line)});
  }
  this->lines = std::move(handler.lines);
}

int JsonLines::LineOf(std::string path) const {
  for (;;) {
    const auto found = this->lines.find(path);
    if (found != this->lines.end()) {
      return found->second;
    }
    const std::size_t end = path.find_last_of(".[");
    if (path.empty()) {
      return 0;
    }
    path.resize(end == std::string::npos ? 0 : end);
  }
}

UserError JsonLines::MakeError(const std::string& path,
                               const std::string& message,
                               std::string hint) const {
  return {this->file, this->LineOf(path), Truncate(path), Truncate(message),
          std::move(hint)};
}

}  // namespace acacia
