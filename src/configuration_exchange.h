// What entries need to get the configuration from one another: the row in force
// for entries that ask for it, and whom this entry asks. Entries hand on a form
// of the row that holds no keys of accounts.
//
// Not thread-safe; no I/O.
#ifndef SRC_CONFIGURATION_EXCHANGE_H_
#define SRC_CONFIGURATION_EXCHANGE_H_

#include <optional>
#include <string>

#include "src/clock.h"
#include "src/ids.h"
#include "src/random_source.h"
#include "src/row_request.h"
#include "src/row_store.h"

namespace acacia {

class ConfigurationExchange {
 public:
  // A row of the store is at most 64 KB. The digests that replace the keys of
  // accounts may be longer than these.
  static constexpr std::size_t kMaxRowBytes = 128 * 1024;

  // The random source must outlive this object. `key` is that of the row.
  ConfigurationExchange(std::string key, RandomSource& random);

  // A readable configuration row was read. `text` is its form without keys if
  // it is in force from now on; nullopt if the one before stays in force.
  void OnRowRead(RowVersion version, std::optional<std::string> text);

  RowRequester& Requester() { return this->requester; }

  // Returns the row for an entry that holds the table up to version `after`;
  // nullopt if there is nothing newer or too much was sent lately. `version` is
  // that up to which this entry holds the table.
  std::optional<TableRows> ReplyTo(RowVersion after,
                                   RowVersion version,
                                   TimePoint now);
  // Whether the rows have the form of a reply.
  bool IsReply(const TableRows& rows) const;

 private:
  // Its version is that of the newest row read, its value that in force.
  TableRow row;
  RowRequester requester;
  RowReplyBudget budget;
};

}  // namespace acacia

#endif  // SRC_CONFIGURATION_EXCHANGE_H_
