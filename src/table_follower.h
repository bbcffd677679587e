// Follows one table of the store: reads the whole table, then polls for
// changes. Reported versions never decrease: an answer older than what was
// reported before is discarded, and a full read after a gap in the history only
// counts when it is at least as new. What a store holds that was restored from
// a copy is newer, whatever its age (see RowVersion). While another entry reads
// the changes for this one, the follower applies what that entry relays, and
// polls the store only when a change that other entries know of does not
// arrive.
#ifndef SRC_TABLE_FOLLOWER_H_
#define SRC_TABLE_FOLLOWER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/clock.h"
#include "src/poll_turn.h"
#include "src/random_source.h"
#include "src/row_store.h"

namespace acacia {

struct TableEvents {
  // A full read of the table: rows not in `rows` do not exist.
  std::function<void(const TableRows& rows)> on_whole_table;
  std::function<void(const TableRows& changes)> on_changes;
  // Called whenever the follower starts or ceases to be up to date.
  std::function<void(bool available)> on_available;
  // Changes read from the store, complete since version `after`. Called before
  // on_changes. Optional.
  std::function<void(RowVersion after, const TableRows& changes)> on_fetched{};
  // A call to the store ended; no error means that it was answered. Optional.
  std::function<void(std::optional<RowStoreError> error)> on_call{};
};

// Use on one strand. Calls back on the executor. The clock and the random
// source must outlive this object.
class TableFollower {
 public:
  TableFollower(const boost::asio::any_io_executor& executor,
                std::string table,
                std::unique_ptr<RowStore> store,
                TableEvents events,
                const Clock& clock,
                RandomSource& random);
  ~TableFollower();

  void Start();
  void Stop();
  // Tells that a change of this version exists. Unless it arrives within
  // kArrivalTimeout, or the relay timeout while another entry reads for it,
  // the pending wait is abandoned and the store is called again.
  void ExpectVersion(RowVersion version);
  // Ends the pause after a failed call. For when the store is known to answer
  // again.
  void RetryNow();
  // Sets whether another entry reads changes for this one. While it does, a
  // pending call runs on, but no new one is started.
  void SetReadByOthers(bool read_by_others);
  // Sets the turn in which this entry's polls end, if it is a reader.
  void SetPollTurn(std::optional<PollTurn> turn);
  // Applies changes read by another entry, complete since version `after`.
  // Ignored when they leave a gap or bring nothing new.
  void ApplyRelayed(RowVersion after, const TableRows& changes);
  // Applies the newest rows of the table up to a version as another entry holds
  // them, whatever this one has missed. Only for tables of which each row says
  // all by itself. Returns false, and does nothing, if they bring nothing new.
  bool ApplyNewest(const TableRows& newest);
  // Sets how long a change that another entry reads for this one may take.
  void SetRelayTimeout(Duration timeout);
  // Sets the bound of the exponential backoff after failed calls.
  void SetMaxRetryPause(Duration pause);
  // The store version up to which the table is known; 0 before the first read.
  RowVersion Version() const;
  // The version of the newest row that this entry has read or has been told of.
  RowVersion NewestKnownRow() const;
  // The version since which this entry itself has read the table without a gap;
  // 0 while it does not read or the store does not answer.
  RowVersion GapFreeSince() const;

  static constexpr std::chrono::milliseconds kArrivalTimeout{250};
  // Default relay timeout. Longer than the pause of readers between two calls.
  static constexpr std::chrono::milliseconds kRelayTimeout{600};
  // Default bound of the backoff after failed calls.
  static constexpr std::chrono::milliseconds kMaxRetryPause{250};

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_TABLE_FOLLOWER_H_
