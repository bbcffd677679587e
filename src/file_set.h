// Reads a folder of JSON files (with comments) into one file set. Every mistake
// of every file is listed at once, with file, line, field and a hint; a file
// set with a mistake is refused as a whole.
#ifndef SRC_FILE_SET_H_
#define SRC_FILE_SET_H_

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/generated/file_set_generated.h"
#include "src/json_lines.h"
#include "src/user_error.h"

namespace acacia {

// One file of a set, read as far as it could be.
struct FileSetPart {
  schema::FileSetT content;
  JsonLines lines;
};

// Reads each "*.json" of the folder, in the order of their names.
tl::expected<schema::FileSetT, UserErrors> ReadFileSet(
    const std::string& folder);

// A file's name and text, for sets that are not in a folder.
struct NamedText {
  std::string file;
  std::string text;
};
tl::expected<schema::FileSetT, UserErrors> ParseFileSet(
    const std::vector<NamedText>& files);

// The mistakes that the schema cannot express: names, references, ranges,
// duplicates. `complete` is false when some file could not be read, so that a
// reference may be to something in it.
UserErrors CheckFileSet(const std::vector<FileSetPart>& parts, bool complete);

}  // namespace acacia

#endif  // SRC_FILE_SET_H_
