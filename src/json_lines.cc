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
constexpr std::size_t kMaxClippedBytes = 300;
constexpr std::size_t kMaxDuplicateKeys = 100;

// Receives the parser's events. The text is fed line by line, so the current
// line is known at each event. Boost.JSON prescribes the names.
class LineHandler {
 public:
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  bool on_document_begin(ErrorCode& /*error*/) { return true; }
  bool on_document_end(ErrorCode& /*error*/) { return true; }
  bool on_object_begin(ErrorCode& /*error*/) { return this->Open(false); }
  bool on_object_end(std::size_t /*n*/, ErrorCode& /*error*/) {
    return this->Close();
  }
  bool on_array_begin(ErrorCode& /*error*/) { return this->Open(true); }
  bool on_array_end(std::size_t /*n*/, ErrorCode& /*error*/) {
    return this->Close();
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
    return this->Scalar();
  }
  bool on_number_part(std::string_view /*part*/, ErrorCode& /*error*/) {
    return true;
  }
  bool on_int64(std::int64_t /*value*/,
                std::string_view /*part*/,
                ErrorCode& /*error*/) {
    return this->Scalar();
  }
  bool on_uint64(std::uint64_t /*value*/,
                 std::string_view /*part*/,
                 ErrorCode& /*error*/) {
    return this->Scalar();
  }
  bool on_double(double /*value*/,
                 std::string_view /*part*/,
                 ErrorCode& /*error*/) {
    return this->Scalar();
  }
  bool on_bool(bool /*value*/, ErrorCode& /*error*/) { return this->Scalar(); }
  bool on_null(ErrorCode& /*error*/) { return this->Scalar(); }
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

  // The path of the value that begins now.
  std::string NextPath() {
    if (this->containers.empty()) {
      return "";
    }
    Container& around = this->containers.back();
    if (!around.is_array) {
      return around.member;
    }
    return around.path + "[" + std::to_string(around.count++) + "]";
  }

  std::string Record() {
    std::string path = this->NextPath();
    const bool is_new = this->lines.try_emplace(path, this->line).second;
    if (!is_new && this->duplicates.size() < kMaxDuplicateKeys) {
      this->duplicates.emplace_back(path, this->line);
    }
    return path;
  }

  bool Scalar() {
    this->Record();
    return true;
  }
  bool Open(bool is_array) {
    Container container;
    container.path = this->Record();
    container.is_array = is_array;
    this->containers.push_back(std::move(container));
    return true;
  }
  bool Close() {
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

// One line of bounded length.
std::string Clip(std::string_view text) {
  std::string clipped(text.substr(0, kMaxClippedBytes));
  for (char& c : clipped) {
    if (std::iscntrl(static_cast<unsigned char>(c)) != 0) {
      c = '?';
    }
  }
  return text.size() > kMaxClippedBytes ? clipped + "..." : clipped;
}

std::string_view Line(std::string_view text) {
  const std::size_t end = text.find('\n');
  return end == std::string_view::npos ? text : text.substr(0, end + 1);
}

std::string Quote(std::string_view line) {
  while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
    line.remove_suffix(1);
  }
  const std::size_t begin = line.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return "the text ends here or a bracket is missing";
  }
  return "near: " + Clip(line.substr(begin, kMaxQuotedBytes)) +
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
    line = Line(text);
    text.remove_prefix(line.size());
    ++handler.line;
    const std::size_t used =
        parser.write_some(true, line.data(), line.size(), error);
    if (!error && used < line.size()) {
      error = json::error::extra_data;
    }
  }
  if (!error) {
    parser.write_some(false, "", 0, error);
  }
  for (auto& [path, at] : handler.duplicates) {
    this->errors.push_back({this->file, at, Clip(path),
                            "this field stands twice",
                            "remove one of the two"});
  }
  if (error) {
    this->has_syntax_error = true;
    this->errors.push_back({this->file, handler.line, "",
                            "not JSON: " + error.message(), Quote(line)});
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
  return {this->file, this->LineOf(path), Clip(path), Clip(message),
          std::move(hint)};
}

}  // namespace acacia
