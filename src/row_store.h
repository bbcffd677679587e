// Interface of a versioned table store, implemented by the platform's adapter:
// full reads of a table, changes after a version, and writes of single rows.
// One object serves one call at a time: await each call before the next.
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
  // The row was deleted.
  bool removed = false;
};

struct TableRows {
  std::vector<TableRow> rows;
  // The store's version when it answered.
  RowVersion version;
};

inline RowVersion NewerVersion(RowVersion a, RowVersion b) {
  return a < b ? b : a;
}

enum class RowStoreError {
  // The call had no effect.
  kUnavailable,
  // The store's rate limit was exceeded. The call had no effect.
  kTooManyCalls,
  // The store no longer has all changes since the requested version.
  kHistoryGone,
  // A row did not have the expected version.
  kConflict,
  // No answer. A write may have been carried out, or may still be.
  kUnknown,
  // The answer could not be parsed.
  kMalformed,
};

std::string_view RowStoreErrorName(RowStoreError error);

class RowStore {
 public:
  virtual ~RowStore() = default;

  // Reads all rows. Changes after the returned version may already be included.
  virtual boost::asio::awaitable<tl::expected<TableRows, RowStoreError>>
  ReadTable(std::string table) = 0;

  // Waits for changes after a version and returns them in order; empty when
  // there were none within `wait`.
  virtual boost::asio::awaitable<tl::expected<TableRows, RowStoreError>>
  AwaitChanges(std::string table, RowVersion after, Duration wait) = 0;

  // Closes the connection. A pending call fails; the next one opens another.
  virtual void Abort() = 0;

  // Writes a row unconditionally. Returns its new version.
  virtual boost::asio::awaitable<tl::expected<RowVersion, RowStoreError>>
  Put(std::string table, std::string key, std::string value) = 0;

  // Removes a row if it still has the expected version, so that a removal
  // carried out late does not delete what was written since.
  virtual boost::asio::awaitable<tl::expected<RowVersion, RowStoreError>>
  Remove(std::string table, std::string key, RowVersion expected) = 0;
};

using RowStoreFactory = std::function<std::unique_ptr<RowStore>()>;

}  // namespace acacia

#endif  // SRC_ROW_STORE_H_
