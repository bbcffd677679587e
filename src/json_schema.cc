#include "src/json_schema.h"

#include <flatbuffers/idl.h>
#include <flatbuffers/reflection.h>
#include <flatbuffers/util.h>

#include <algorithm>
#include <boost/json.hpp>
#include <regex>

#include "src/check.h"

namespace acacia {
namespace {

namespace json = boost::json;

json::parse_options LenientOptions() {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return options;
}

// Lines are found by searching for the key; a key that stands more than once
// gives the first line.
int LineOfKey(const std::string& text, const std::string& key) {
  const std::size_t at = text.find("\"" + key + "\"");
  if (at == std::string::npos) {
    return 0;
  }
  return 1 + static_cast<int>(std::count(
                 text.begin(), text.begin() + static_cast<long>(at), '\n'));
}

// Collects the fields that the schema does not have, through every nested
// table.
class UnknownFieldFinder {
 public:
  UnknownFieldFinder(const reflection::Schema& schema,
                     const std::string& file,
                     const std::string& text)
      : schema(schema), file(file), text(text) {}

  UserErrors Find(const json::value& value, const reflection::Object& object) {
    this->Walk(value, object, "");
    return this->errors;
  }

 private:
  void Walk(const json::value& value,
            const reflection::Object& object,
            const std::string& path) {
    if (!value.is_object()) {
      return;
    }
    for (const auto& member : value.get_object()) {
      const std::string key(member.key());
      const std::string field_path = path.empty() ? key : path + "." + key;
      const reflection::Field* field =
          object.fields()->LookupByKey(key.c_str());
      if (field == nullptr) {
        this->errors.push_back({this->file, LineOfKey(this->text, key),
                                field_path, "unknown field",
                                this->KnownFields(object)});
        continue;
      }
      this->WalkField(member.value(), *field, field_path);
    }
  }

  void WalkField(const json::value& value,
                 const reflection::Field& field,
                 const std::string& path) {
    const reflection::Type* type = field.type();
    const bool is_table = type->base_type() == reflection::Obj;
    const bool is_table_list = type->base_type() == reflection::Vector &&
                               type->element() == reflection::Obj;
    if (is_table) {
      this->Walk(value, *this->schema.objects()->Get(type->index()), path);
    } else if (is_table_list && value.is_array()) {
      int i = 0;
      for (const json::value& item : value.get_array()) {
        this->Walk(item, *this->schema.objects()->Get(type->index()),
                   path + "[" + std::to_string(i++) + "]");
      }
    }
  }

  std::string KnownFields(const reflection::Object& object) const {
    std::string known;
    for (const reflection::Field* field : *object.fields()) {
      known += (known.empty() ? "known fields: " : ", ") + field->name()->str();
    }
    return known;
  }

  const reflection::Schema& schema;
  const std::string& file;
  const std::string& text;
  UserErrors errors;
};

// FlatBuffers reports "  LINE: COLUMN: error: MESSAGE", sometimes behind a file
// name.
UserError FromParserError(const std::string& file, const std::string& error) {
  static const std::regex pattern(R"((\d+): *(\d+): error: (.*))");
  std::smatch match;
  std::string first_line = error.substr(0, error.find(", originally at"));
  if (std::regex_search(first_line, match, pattern)) {
    return {file, std::stoi(match[1]), "", match[3], ""};
  }
  return {file, 0, "", first_line, ""};
}

UserErrors FindUnknownFields(const BinarySchema& schema,
                             const std::string& table,
                             const std::string& file,
                             const std::string& text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error, {}, LenientOptions());
  if (error) {
    return {};  // A syntax error; the FlatBuffers parser reports it with its
                // line.
  }
  const reflection::Schema* reflected = reflection::GetSchema(schema.bytes);
  const reflection::Object* object =
      reflected->objects()->LookupByKey(table.c_str());
  ACACIA_CHECK(object != nullptr) << "table=" << table;
  return UnknownFieldFinder(*reflected, file, text).Find(value, *object);
}

}  // namespace

tl::expected<std::vector<std::uint8_t>, UserErrors> ParseJsonTable(
    const BinarySchema& schema,
    const std::string& table,
    const std::string& file,
    const std::string& text) {
  UserErrors errors = FindUnknownFields(schema, table, file, text);
  flatbuffers::IDLOptions options;
  options.skip_unexpected_fields_in_json = true;
  flatbuffers::Parser parser(options);
  ACACIA_CHECK(parser.Deserialize(schema.bytes, schema.size))
      << "table=" << table;
  ACACIA_CHECK(parser.SetRootType(table.c_str())) << "table=" << table;
  if (!parser.ParseJson(text.c_str())) {
    errors.push_back(FromParserError(file, parser.error_));
  }
  if (!errors.empty()) {
    return tl::unexpected(errors);
  }
  const std::uint8_t* begin = parser.builder_.GetBufferPointer();
  return std::vector<std::uint8_t>(begin, begin + parser.builder_.GetSize());
}

tl::expected<std::string, UserErrors> ReadTextFile(const std::string& file) {
  std::string text;
  if (!flatbuffers::LoadFile(file.c_str(), false, &text)) {
    return tl::unexpected(
        UserErrors{{file, 0, "", "cannot be read", "does the file exist?"}});
  }
  return text;
}

}  // namespace acacia
