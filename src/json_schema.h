// Reads JSON with comments into a FlatBuffers table of a schema, and lists
// every mistake at once: syntax errors with their line, unknown fields and
// wrong types with their path and a hint.
#ifndef SRC_JSON_SCHEMA_H_
#define SRC_JSON_SCHEMA_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "src/user_error.h"

namespace acacia {

// The embedded binary form of a schema (see *_bfbs_generated.h).
struct BinarySchema {
  const std::uint8_t* bytes;
  std::size_t size;
};

// Returns the table in FlatBuffers' binary form. `table` is the full name,
// "acacia.schema.FileSet". `file` names the text in errors.
tl::expected<std::vector<std::uint8_t>, UserErrors> ParseJsonTable(
    const BinarySchema& schema,
    const std::string& table,
    const std::string& file,
    const std::string& text);

// Reads a whole file. The error names the file.
tl::expected<std::string, UserErrors> ReadTextFile(const std::string& file);

}  // namespace acacia

#endif  // SRC_JSON_SCHEMA_H_
