// Reads JSON with comments into a FlatBuffers table of a schema, and lists
// every mistake at once, each with its line, field path and a hint: syntax
// errors, fields that stand twice, unknown fields, wrong types, numbers out of
// range, unknown enum names, missing required fields.
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

// A table that was read as far as it could be, so that later checks can list
// their mistakes together with these.
struct JsonTable {
  // The table in FlatBuffers' binary form, with an empty value in place of
  // each mistaken one. No bytes when the text is not JSON at all.
  std::vector<std::uint8_t> bytes;
  JsonLines lines;
  UserErrors errors;
};

// `table` is the full name, "acacia.schema.FileSet". `file` names the text in
// errors.
JsonTable ReadJsonTable(const BinarySchema& schema,
                        const std::string& table,
                        const std::string& file,
                        const std::string& text);

// The same, where any mistake makes the whole unusable.
tl::expected<std::vector<std::uint8_t>, UserErrors> ParseJsonTable(
    const BinarySchema& schema,
    const std::string& table,
    const std::string& file,
    const std::string& text);

// Reads a whole file. The error names the file.
tl::expected<std::string, UserErrors> ReadTextFile(const std::string& file);

}  // namespace acacia

#endif  // SRC_JSON_SCHEMA_H_
