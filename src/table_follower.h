// Keeps up with one table of the store: reads it whole, then waits for changes.
// What it hands on never goes back: an answer older than what was handed on
// before is thrown away, and a reading after a gap in the history counts only
// when it is at least as new. While another entry reads the changes for this
// one, it takes what that one passes on and asks the store only when a change
// that others know of does not arrive.
#ifndef SRC_TABLE_FOLLOWER_H_
#define SRC_TABLE_FOLLOWER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/clock.h"
#include "src/random_source.h"
#include "src/row_store.h"

namespace acacia {

struct TableEvents {
  // The whole table; rows that are not in it do not exist.
  std::function<void(const TableRows& rows)> on_whole_table;
  std::function<void(const TableRows& changes)> on_changes;
  // The table is kept up to date, or no more; told on each change.
  std::function<void(bool available)> on_available;
  // Changes that were read from the store, and all that came after that
  // version; told before on_changes. May be left out.
  std::function<void(RowVersion after, const TableRows& changes)> on_fetched{};
  // A call to the store ended; nothing: it was answered. May be left out.
  std::function<void(std::optional<RowStoreError> error)> on_call{};
};

// Use on one strand. Calls back on the executor.
class TableFollower {
 public:
  TableFollower(const boost::asio::any_io_executor& executor,
                std::string table,
                std::unique_ptr<RowStore> store,
                TableEvents events,
                RandomSource& random);
  ~TableFollower();

  void Start();
  void Stop();
  // A change of this version exists. Unless it arrives within kArrivalTime, or
  // kRelayTime while others read, the call that waits is given up and the store
  // is asked again.
  void ExpectVersion(RowVersion version);
  // The store answers again: does not wait for the end of a pause.
  void RetryNow();
  // Another entry reads changes for this one, or does so no longer. Calls that
  // wait go on; no new ones begin.
  void SetReadByOthers(bool read_by_others);
  // What another entry read: all changes after that version of the store.
  void ApplyRelayed(RowVersion after, const TableRows& changes);
  // Pauses after failed calls grow up to this.
  void SetMaxRetryPause(Duration pause);
  // Up to which version of the store the table is known.
  RowVersion Version() const;
  // The newest row that was seen or is known to others.
  RowVersion NewestKnownRow() const;
  // Since which version this entry has read the table without a gap; 0 while
  // the store does not answer.
  RowVersion GapFreeSince() const;

  static constexpr std::chrono::milliseconds kArrivalTimeout{250};
  // Longer than readers pause between two calls.
  static constexpr std::chrono::milliseconds kRelayTimeout{600};
  // The usual bound of pauses.
  static constexpr std::chrono::milliseconds kMaxRetryPause{250};

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_TABLE_FOLLOWER_H_
