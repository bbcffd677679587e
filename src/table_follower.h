// Keeps up with one table of the store: reads it whole, then waits for changes.
// What it hands on never goes back: an answer older than what was handed on
// before is thrown away, and a reading after a gap in the history counts only
// when it is at least as new.
#ifndef SRC_TABLE_FOLLOWER_H_
#define SRC_TABLE_FOLLOWER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "src/clock.h"
#include "src/random_source.h"
#include "src/row_store.h"

namespace acacia {

struct TableEvents {
  // The whole table; rows that are not in it do not exist.
  std::function<void(const TableRows& rows)> on_whole;
  std::function<void(const TableRows& changes)> on_changes;
  // The store answers, or answers no more; told on each change.
  std::function<void(bool available)> on_available;
};

// Use on one strand. Calls back on the executor.
class TableFollower {
 public:
  TableFollower(const boost::asio::any_io_executor& executor,
                std::string table,
                std::unique_ptr<RowStore> store,
                TableEvents events,
                RandomSource& random,
                Duration longest_pause = kLongestPause);
  ~TableFollower();

  void Start();
  void Stop();
  // A change of this version exists. Unless it arrives within kArrivalTime, the
  // call that waits is given up and the store is asked again.
  void Expect(RowVersion version);
  // The store answers again: does not wait for the end of a pause.
  void Hurry();
  // Up to which version of the store the table is known.
  RowVersion Version() const;
  // The newest row that was seen.
  RowVersion NewestRow() const;

  static constexpr std::chrono::milliseconds kArrivalTime{250};
  // Pauses after failed calls grow up to this.
  static constexpr std::chrono::milliseconds kLongestPause{250};

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_TABLE_FOLLOWER_H_
