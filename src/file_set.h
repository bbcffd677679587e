// Reads a folder of JSON files (with comments) into one file set. All mistakes
// in all files are reported together, each with its file, line, field and a
// hint. A file set with a mistake is refused as a whole.
#ifndef SRC_FILE_SET_H_
#define SRC_FILE_SET_H_

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/generated/file_set_generated.h"
#include "src/json_lines.h"
#include "src/user_error.h"

namespace acacia {

// One file of a set, as far as it could be read.
struct FileSetPart {
  schema::FileSetT content;
  JsonLines lines;
};

// Reads all "*.json" files of the folder, in the order of their names.
tl::expected<schema::FileSetT, UserErrors> ReadFileSet(
    const std::string& folder);

// The name and text of a file, for file sets that are not read from a folder.
struct NamedText {
  std::string file;
  std::string text;
};
tl::expected<schema::FileSetT, UserErrors> ParseFileSet(
    const std::vector<NamedText>& files);

// Finds the mistakes that the schema cannot express: in names, references and
// ranges, and duplicates. `complete` is false when some file could not be read;
// unknown references are then not reported, because that file may define them.
UserErrors CheckFileSet(const std::vector<FileSetPart>& parts, bool complete);

}  // namespace acacia

#endif  // SRC_FILE_SET_H_
