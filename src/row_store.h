// A table service with versions, as the entry uses it: whole tables, changes
// after a version, and rows of its own. An adapter carries it out. One object
// serves one call at a time: await each before the next.
#ifndef SRC_ROW_STORE_H_
#define SRC_ROW_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"

namespace acacia {

struct TableRow {
  std::string key;
  std::string value;
  RowVersion version;
  // The row does not exist any more.
  bool removed = false;
};

struct TableRows {
  std::vector<TableRow> rows;
  // Of the store when it answered.
  RowVersion version;
};

// The newest of two versions.
inline RowVersion NewerVersion(RowVersion a, RowVersion b) {
  return a < b ? b : a;
}

enum class RowStoreError {
  // The call had no effect.
  kUnavailable,
  // More calls than the store takes; it had no effect.
  kTooManyCalls,
  // Changes since the version asked for are not all known any more.
  kHistoryGone,
  // A row did not have the version that was expected.
  kConflict,
  // No answer: a write may have been done, or may be done later.
  kUnknown,
  // An answer that cannot be read.
  kMalformed,
};

std::string_view RowStoreErrorName(RowStoreError error);

class RowStore {
 public:
  virtual ~RowStore() = default;

  // All rows of one moment.
  virtual boost::asio::awaitable<tl::expected<TableRows, RowStoreError>>
  ReadTable(std::string table) = 0;

  // Changes after a version, in order; empty when there were none for `wait`.
  virtual boost::asio::awaitable<tl::expected<TableRows, RowStoreError>>
  AwaitChanges(std::string table, RowVersion after, Duration wait) = 0;

  // Gives up the call that waits, which then fails.
  virtual void Abort() = 0;

  // Writes a row whatever it was before. Returns the new version.
  virtual boost::asio::awaitable<tl::expected<RowVersion, RowStoreError>>
  Put(std::string table, std::string key, std::string value) = 0;

  // Removes a row that still has the version; so one that is carried out late
  // spares what was written since.
  virtual boost::asio::awaitable<tl::expected<RowVersion, RowStoreError>>
  Remove(std::string table, std::string key, RowVersion expected) = 0;
};

using RowStoreFactory = std::function<std::unique_ptr<RowStore>()>;

}  // namespace acacia

#endif  // SRC_ROW_STORE_H_
