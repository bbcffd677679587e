// Reads JSON with comments into a FlatBuffers table of a schema and reports all
// mistakes together, each with its line, field path and a hint: syntax errors,
// duplicate fields, unknown fields, wrong types, numbers out of range, unknown
// enum names, missing required fields.
#ifndef SRC_JSON_SCHEMA_H_
#define SRC_JSON_SCHEMA_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "src/json_lines.h"
#include "src/user_error.h"

namespace acacia {

// The embedded binary form of a schema (see *_bfbs_generated.h).
struct BinarySchema {
  const std::uint8_t* bytes;
  std::size_t size;
};

// A table, as far as it could be read, so that later checks can report their
// mistakes together with these.
struct JsonTable {
  // The table in FlatBuffers' binary form, with an empty value in place of each
  // invalid one. Empty when the text is not JSON or cannot be converted.
  std::vector<std::uint8_t> bytes;
  JsonLines lines;
  UserErrors errors;
};

// `table` is the table's full name, such as "acacia.schema.FileSet". `file` is
// the name for errors.
JsonTable ReadJsonTable(const BinarySchema& schema,
                        const std::string& table,
                        const std::string& file,
                        const std::string& text);

// Like ReadJsonTable, but any mistake makes the whole text invalid.
tl::expected<std::vector<std::uint8_t>, UserErrors> ParseJsonTable(
    const BinarySchema& schema,
    const std::string& table,
    const std::string& file,
    const std::string& text);

// Reads a whole file. The error names the file.
tl::expected<std::string, UserErrors> ReadTextFile(const std::string& file);

}  // namespace acacia

#endif  // SRC_JSON_SCHEMA_H_
