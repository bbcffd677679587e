// Serializes FlatBuffers tables to strings and back. Unpacking verifies the
// bytes first, so input from a socket or a row can be passed as it is.
#ifndef SRC_FLAT_TABLE_H_
#define SRC_FLAT_TABLE_H_

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <optional>
#include <string>

namespace acacia {

template <typename Table>
std::string PackTable(const typename Table::NativeTableType& table) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Table::Pack(builder, &table));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

// Returns nothing if the bytes are not a valid buffer of this table.
template <typename Table>
std::optional<typename Table::NativeTableType> UnpackTable(
    const std::string& bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) {
    return std::nullopt;
  }
  typename Table::NativeTableType table;
  flatbuffers::GetRoot<Table>(data)->UnPackTo(&table);
  return table;
}

}  // namespace acacia

#endif  // SRC_FLAT_TABLE_H_
