#include "src/file_set.h"

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <utility>

#include "src/generated/file_set_bfbs_generated.h"
#include "src/json_schema.h"

namespace acacia {
namespace {

namespace filesystem = std::filesystem;

constexpr std::uintmax_t kMaxFileBytes = 64 * 1024 * 1024;

tl::expected<std::vector<std::string>, UserErrors> ListFiles(
    const std::string& folder) {
  std::error_code error;
  std::vector<std::string> files;
  for (filesystem::directory_iterator entry(folder, error), end;
       !error && entry != end; entry.increment(error)) {
    if (entry->path().extension() == ".json") {
      files.push_back(entry->path().string());
    }
  }
  if (error) {
    return tl::unexpected(
        UserErrors{{folder, 0, "", "cannot be read: " + error.message(),
                    "name the folder that holds the file set"}});
  }
  std::sort(files.begin(), files.end());
  return files;
}

tl::expected<std::string, UserErrors> ReadFileWithinLimit(
    const std::string& file) {
  std::error_code error;
  const std::uintmax_t size = filesystem::file_size(file, error);
  if (!error && size > kMaxFileBytes) {
    return tl::unexpected(UserErrors{
        {file, 0, "", "larger than 64 MiB", "split it into several files"}});
  }
  return ReadTextFile(file);
}

template <typename T>
void MoveAll(std::vector<T>& from, std::vector<T>* to) {
  to->insert(to->end(), std::make_move_iterator(from.begin()),
             std::make_move_iterator(from.end()));
}

schema::FileSetT MergeParts(std::vector<FileSetPart> parts) {
  schema::FileSetT all;
  for (FileSetPart& part : parts) {
    MoveAll(part.content.services, &all.services);
    MoveAll(part.content.routes, &all.routes);
    MoveAll(part.content.accounts, &all.accounts);
    MoveAll(part.content.drain_rules, &all.drain_rules);
    MoveAll(part.content.stop_plans, &all.stop_plans);
  }
  return all;
}

void AppendErrors(const UserErrors& from, UserErrors* to) {
  to->insert(to->end(), from.begin(), from.end());
}

tl::expected<schema::FileSetT, UserErrors> Parse(
    const std::vector<NamedText>& files,
    UserErrors errors) {
  const BinarySchema schema{schema::FileSetBinarySchema::data(),
                            schema::FileSetBinarySchema::size()};
  bool complete = errors.empty();
  std::vector<FileSetPart> parts;
  for (const NamedText& file : files) {
    JsonTable table = ReadJsonTable(
        schema, schema::FileSet::GetFullyQualifiedName(), file.file, file.text);
    AppendErrors(table.errors, &errors);
    if (table.bytes.empty()) {
      complete = false;
      continue;
    }
    FileSetPart part{{}, std::move(table.lines)};
    flatbuffers::GetRoot<schema::FileSet>(table.bytes.data())
        ->UnPackTo(&part.content);
    parts.push_back(std::move(part));
  }
  AppendErrors(CheckFileSet(parts, complete), &errors);
  if (!errors.empty()) {
    return tl::unexpected(OnePerField(errors));
  }
  return MergeParts(std::move(parts));
}

}  // namespace

tl::expected<schema::FileSetT, UserErrors> ReadFileSet(
    const std::string& folder) {
  const auto names = ListFiles(folder);
  if (!names) {
    return tl::unexpected(names.error());
  }
  if (names->empty()) {
    return tl::unexpected(
        UserErrors{{folder, 0, "", "holds no *.json file",
                    "an empty file set would remove every route"}});
  }
  std::vector<NamedText> files;
  UserErrors errors;
  for (const std::string& name : *names) {
    auto text = ReadFileWithinLimit(name);
    if (text) {
      files.push_back({name, *std::move(text)});
    } else {
      AppendErrors(text.error(), &errors);
    }
  }
  return Parse(files, std::move(errors));
}

tl::expected<schema::FileSetT, UserErrors> ParseFileSet(
    const std::vector<NamedText>& files) {
  return Parse(files, {});
}

}  // namespace acacia
