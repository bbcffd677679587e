#include "src/json_schema.h"

#include <flatbuffers/idl.h>
#include <flatbuffers/reflection.h>
#include <flatbuffers/util.h>

#include <boost/json.hpp>
#include <limits>
#include <utility>

#include "src/check.h"

namespace acacia {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxErrorsPerFile = 1000;

json::parse_options LenientOptions() {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return options;
}

bool IsInteger(reflection::BaseType type) {
  return type >= reflection::Byte && type <= reflection::ULong;
}

// The largest value of an unsigned integer type.
std::uint64_t MaxUnsignedValue(reflection::BaseType type) {
  switch (type) {
    case reflection::UByte:
      return std::numeric_limits<std::uint8_t>::max();
    case reflection::UShort:
      return std::numeric_limits<std::uint16_t>::max();
    case reflection::UInt:
      return std::numeric_limits<std::uint32_t>::max();
    default:
      return std::numeric_limits<std::uint64_t>::max();
  }
}

// Checks a JSON value against a table of the schema, including nested tables.
// Invalid values are reported and replaced by empty ones; list items keep their
// positions.
class SchemaChecker {
 public:
  SchemaChecker(const reflection::Schema& schema,
                const JsonLines& lines,
                UserErrors* errors)
      : schema(schema), lines(lines), errors(errors) {}

  void CheckTable(json::value& value,
                  const reflection::Object& object,
                  const std::string& path) {
    if (!value.is_object()) {
      this->Report(path, "expected an object {...}", "");
      value = json::object();
    }
    json::object& members = value.get_object();
    std::vector<std::string> unknown;
    for (auto& member : members) {
      const std::string key(member.key());
      const std::string at = path.empty() ? key : path + "." + key;
      const auto* field = object.fields()->LookupByKey(key.c_str());
      if (field == nullptr) {
        this->Report(at, "unknown field", this->KnownFields(object));
        unknown.push_back(key);
      } else {
        this->CheckValue(member.value(), *field->type(), at);
      }
    }
    for (const std::string& key : unknown) {
      members.erase(key);
    }
    this->CheckRequired(members, object, path);
  }

 private:
  void CheckRequired(json::object& members,
                     const reflection::Object& object,
                     const std::string& path) {
    for (const auto* field : *object.fields()) {
      const std::string name = field->name()->str();
      if (field->required() && !members.contains(name)) {
        this->Report(path.empty() ? name : path + "." + name,
                     "this field is required", "");
        members[name] = "";
      }
    }
  }

  void CheckValue(json::value& value,
                  const reflection::Type& type,
                  const std::string& at) {
    switch (type.base_type()) {
      case reflection::Vector:
        this->CheckList(value, type, at);
        return;
      case reflection::Obj:
        this->CheckTable(value, *this->schema.objects()->Get(type.index()), at);
        return;
      default:
        this->CheckScalar(value, type.base_type(), type.index(), at);
    }
  }

  void CheckList(json::value& value,
                 const reflection::Type& type,
                 const std::string& at) {
    if (!value.is_array()) {
      this->Report(at, "expected a list [...]", "");
      value = json::array();
    }
    std::size_t position = 0;
    for (json::value& item : value.get_array()) {
      const std::string item_at = at + "[" + std::to_string(position++) + "]";
      if (type.element() == reflection::Obj) {
        this->CheckTable(item, *this->schema.objects()->Get(type.index()),
                         item_at);
      } else {
        this->CheckScalar(item, type.element(), type.index(), item_at);
      }
    }
  }

  void CheckScalar(json::value& value,
                   reflection::BaseType type,
                   int enum_index,
                   const std::string& at) {
    if (type == reflection::String) {
      this->RequireOrReplace(value.is_string(), value, "", at,
                             "expected a \"string\"", "");
    } else if (type == reflection::Bool) {
      this->RequireOrReplace(value.is_bool(), value, false, at,
                             "expected true or false", "");
    } else if (type == reflection::Double) {
      this->RequireOrReplace(value.is_number(), value, 0, at,
                             "expected a number", "without quotes");
    } else if (IsInteger(type) && enum_index >= 0) {
      this->CheckEnum(value, *this->schema.enums()->Get(enum_index), at);
    } else if (IsInteger(type)) {
      this->CheckInteger(value, type, at);
    } else {
      this->Report(at, "cannot be written in JSON", "");
    }
  }

  void CheckEnum(json::value& value,
                 const reflection::Enum& enumeration,
                 const std::string& at) {
    std::string names;
    bool known = false;
    for (const auto* name : *enumeration.values()) {
      known = known || (value.is_string() &&
                        value.get_string() == name->name()->c_str());
      names += (names.empty() ? "\"" : ", \"") + name->name()->str() + "\"";
    }
    this->RequireOrReplace(known, value, 0, at, "not one of the known names",
                           "write one of " + names);
  }

  void CheckInteger(json::value& value,
                    reflection::BaseType type,
                    const std::string& at) {
    const std::uint64_t max = MaxUnsignedValue(type);
    const bool fits = (value.is_int64() && value.get_int64() >= 0 &&
                       static_cast<std::uint64_t>(value.get_int64()) <= max) ||
                      (value.is_uint64() && value.get_uint64() <= max);
    this->RequireOrReplace(
        fits, value, 0, at, "expected a whole number",
        "from 0 to " + std::to_string(max) + ", without quotes");
  }

  // Reports the value and replaces it by `empty` unless the condition holds.
  void RequireOrReplace(bool holds,
                        json::value& value,
                        const json::value& empty,
                        const std::string& at,
                        const std::string& message,
                        const std::string& hint) {
    if (!holds) {
      this->Report(at, message, hint);
      value = empty;
    }
  }

  void Report(const std::string& path,
              const std::string& message,
              const std::string& hint) {
    if (this->errors->size() < kMaxErrorsPerFile) {
      this->errors->push_back(this->lines.MakeError(path, message, hint));
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
  const JsonLines& lines;
  UserErrors* errors;
};

// Converts checked JSON into the table's binary form.
std::vector<std::uint8_t> ToBinary(const BinarySchema& schema,
                                   const std::string& table,
                                   const json::value& value,
                                   JsonTable* result) {
  flatbuffers::Parser parser;
  ACACIA_CHECK(parser.Deserialize(schema.bytes, schema.size))
      << "table=" << table;
  ACACIA_CHECK(parser.SetRootType(table.c_str())) << "table=" << table;
  if (!parser.ParseJson(json::serialize(value).c_str())) {
    result->errors.push_back(
        result->lines.MakeError("", "cannot be read: " + parser.error_, ""));
    return {};
  }
  const std::uint8_t* begin = parser.builder_.GetBufferPointer();
  return {begin, begin + parser.builder_.GetSize()};
}

}  // namespace

JsonTable ReadJsonTable(const BinarySchema& schema,
                        const std::string& table,
                        const std::string& file,
                        const std::string& text) {
  JsonTable result{{}, JsonLines(file, text), {}};
  result.errors = result.lines.Errors();
  if (result.lines.HasSyntaxError()) {
    return result;
  }
  boost::system::error_code error;
  json::value value = json::parse(text, error, {}, LenientOptions());
  ACACIA_CHECK(!error) << "file=" << file;
  const reflection::Schema* reflected = reflection::GetSchema(schema.bytes);
  const reflection::Object* object =
      reflected->objects()->LookupByKey(table.c_str());
  ACACIA_CHECK(object != nullptr) << "table=" << table;
  SchemaChecker(*reflected, result.lines, &result.errors)
      .CheckTable(value, *object, "");
  result.bytes = ToBinary(schema, table, value, &result);
  return result;
}

tl::expected<std::vector<std::uint8_t>, UserErrors> ParseJsonTable(
    const BinarySchema& schema,
    const std::string& table,
    const std::string& file,
    const std::string& text) {
  JsonTable result = ReadJsonTable(schema, table, file, text);
  if (!result.errors.empty()) {
    return tl::unexpected(std::move(result.errors));
  }
  return std::move(result.bytes);
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
