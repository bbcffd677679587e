#include "src/table_follower.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <iterator>
#include <optional>
#include <utility>

#include "src/keep_running.h"
#include "src/log_event.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
// The poll of an entry that is no reader, but has nobody to read for it, asks
// the store to wait between kMinPollWait and kMinPollWait + kPollWaitSpread for
// changes, drawn at random for each call. Long, because each call costs.
constexpr Duration kMinPollWait = std::chrono::seconds(7);
constexpr Duration kPollWaitSpread = std::chrono::seconds(5);
// Wait of the first poll after a failure: short, to detect soon a store that
// accepts calls but answers none.
constexpr Duration kPollWaitAfterFailure = std::chrono::milliseconds(600);
// Pause between a change and the next call, so that a burst of changes costs
// few calls. Short compared with the seconds in which changes must be applied.
constexpr std::chrono::milliseconds kBatchPause{350};
// Pause between the first full read and the first poll. When hundreds of
// entries start together, most of their rows then come in one answer, and it is
// known by then which entries read the store for others.
constexpr std::chrono::milliseconds kSettleTime{400};
// Pause after the first failed call; doubles with each further one.
constexpr Duration kFirstRetryPause = std::chrono::milliseconds(100);

}  // namespace

struct TableFollower::State : std::enable_shared_from_this<State> {
  State(const net::any_io_executor& executor,
        const Clock& clock,
        RandomSource& random)
      : executor(executor),
        timer(executor),
        arrival_timer(executor),
        clock(clock),
        random(random),
        answered_at(clock.Now()) {}

  net::awaitable<void> Run();
  net::awaitable<void> ReadWhole();
  net::awaitable<void> ReadChanges();
  net::awaitable<void> AwaitRelay();
  bool CanRelyOnRelay() const;
  void Accept(const TableRows& changes);
  net::awaitable<void> Pause(std::chrono::milliseconds duration);
  net::awaitable<void> OnFailure(RowStoreError error);
  void OnCallEnded(const tl::expected<TableRows, RowStoreError>& answer);
  std::int64_t MillisecondsSinceAnswer() const;
  Duration DrawPollWait();
  void AbandonWait();
  void RecordRowVersions(const TableRows& rows);
  void SetAvailable(bool now_available);

  net::any_io_executor executor;
  net::steady_timer timer;
  net::steady_timer arrival_timer;
  const Clock& clock;
  RandomSource& random;
  // When the store last answered a call for this table.
  TimePoint answered_at;
  std::string table;
  std::unique_ptr<RowStore> store;
  TableEvents events;
  // A full read is due: nothing has been read yet, the store's history has a
  // gap, or a poll was abandoned.
  bool needs_whole = true;
  std::optional<RowVersion> version;
  // The version since which this entry itself has read without a gap.
  std::optional<RowVersion> gap_free_since;
  RowVersion newest_row;
  // No change to this table lies between this version and `version`, which also
  // advances with changes to other tables.
  RowVersion last_change;
  // The newest version that other entries know of.
  RowVersion expected;
  // The pending poll was aborted by AbandonWait, not by a failure.
  bool wait_abandoned = false;
  // Another entry reads changes for this one.
  bool read_by_others = false;
  bool awaits_relay = false;
  // A change that other entries know of was not relayed in time. The follower
  // polls the store itself until it has caught up.
  bool is_behind = false;
  bool in_call = false;
  bool is_arrival_timer_armed = false;
  std::optional<bool> available;
  Duration retry_pause = kFirstRetryPause;
  Duration max_retry_pause = kMaxRetryPause;
  Duration relay_timeout = kRelayTimeout;
  bool is_pausing_after_failure = false;
  std::optional<PollTurn> poll_turn;
  // The last poll ended without changes.
  bool was_poll_quiet = false;
  bool stopped = false;
};

// Begins with a full read, also when it is run again: what was being applied
// when an exception ended it may have been applied in part.
net::awaitable<void> TableFollower::State::Run() {
  this->needs_whole = true;
  this->awaits_relay = false;
  this->in_call = false;
  this->is_pausing_after_failure = false;
  bool has_settled = false;
  while (!this->stopped) {
    if (!this->needs_whole && !std::exchange(has_settled, true)) {
      co_await this->Pause(kSettleTime);
    } else if (this->needs_whole) {
      co_await this->ReadWhole();
    } else if (this->CanRelyOnRelay()) {
      co_await this->AwaitRelay();
    } else {
      co_await this->ReadChanges();
    }
  }
}

net::awaitable<void> TableFollower::State::ReadWhole() {
  const auto rows = co_await this->store->ReadTable(this->table);
  if (this->stopped) {
    co_return;
  }
  this->OnCallEnded(rows);
  if (!rows) {
    // A full reading needs no history.
    co_await this->OnFailure(rows.error() == RowStoreError::kHistoryGone
                                 ? RowStoreError::kUnavailable
                                 : rows.error());
    co_return;
  }
  this->SetAvailable(true);
  if (this->version && rows->version < *this->version) {
    LogEvent("table_reading_stale", LogSeverity::kWarning)
        .With("table", this->table)
        .With("version", rows->version)
        .With("held", *this->version);
    co_await this->Pause(kBatchPause);
    co_return;
  }
  if (this->version && EraOf(*this->version) < EraOf(rows->version)) {
    LogEvent("store_restored", LogSeverity::kWarning)
        .With("table", this->table)
        .With("version", rows->version)
        .With("held", *this->version);
  }
  this->needs_whole = false;
  this->version = rows->version;
  this->last_change = rows->version;
  this->gap_free_since = rows->version;
  this->is_behind = this->is_behind && *this->version < this->expected;
  this->retry_pause = kFirstRetryPause;
  this->RecordRowVersions(*rows);
  this->events.on_whole_table(*rows);
}

bool TableFollower::State::CanRelyOnRelay() const {
  return this->read_by_others && !this->is_behind;
}

net::awaitable<void> TableFollower::State::AwaitRelay() {
  this->SetAvailable(true);
  this->awaits_relay = true;
  this->gap_free_since.reset();
  this->timer.expires_at(net::steady_timer::time_point::max());
  co_await this->timer.async_wait(kAwait);
  this->awaits_relay = false;
}

// Applies the rows that are newer than the version held.
void TableFollower::State::Accept(const TableRows& changes) {
  TableRows newer;
  newer.version = changes.version;
  std::copy_if(
      changes.rows.begin(), changes.rows.end(), std::back_inserter(newer.rows),
      [this](const TableRow& row) { return row.version > *this->version; });
  this->version = changes.version;
  this->is_behind = this->is_behind && *this->version < this->expected;
  this->RecordRowVersions(newer);
  if (!newer.rows.empty()) {
    this->events.on_changes(newer);
  } else if (!changes.rows.empty()) {
    LogEvent("table_rows_not_newer")
        .With("table", this->table)
        .With("version", changes.version)
        .With("count", changes.rows.size());
  }
}

void TableFollower::State::OnCallEnded(
    const tl::expected<TableRows, RowStoreError>& answer) {
  if (answer) {
    this->answered_at = this->clock.Now();
  }
  if (this->events.on_call) {
    this->events.on_call(answer ? std::nullopt : std::optional(answer.error()));
  }
}

std::int64_t TableFollower::State::MillisecondsSinceAnswer() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             this->clock.Now() - this->answered_at)
      .count();
}

Duration TableFollower::State::DrawPollWait() {
  const bool was_quiet = std::exchange(this->was_poll_quiet, false);
  if (this->available == false) {
    return kPollWaitAfterFailure;
  }
  if (this->poll_turn) {
    return PollWait(*this->poll_turn, !was_quiet);
  }
  return kMinPollWait + std::chrono::duration_cast<Duration>(
                            kPollWaitSpread * this->random.Fraction());
}

net::awaitable<void> TableFollower::State::ReadChanges() {
  const Duration wait = this->DrawPollWait();
  this->in_call = true;
  if (!this->gap_free_since) {
    this->gap_free_since = this->version;
  }
  // Kept for the answer: ApplyNewest raises last_change beyond what the call
  // asked for.
  const RowVersion complete_since = this->last_change;
  const auto changes =
      co_await this->store->AwaitChanges(this->table, *this->version, wait);
  this->in_call = false;
  if (this->stopped) {
    co_return;
  }
  this->OnCallEnded(changes);
  if (!changes && std::exchange(this->wait_abandoned, false)) {
    this->needs_whole = true;
    co_return;
  }
  if (!changes) {
    co_await this->OnFailure(changes.error());
    co_return;
  }
  this->SetAvailable(true);
  this->retry_pause = kFirstRetryPause;
  if (changes->version < *this->version) {
    // The next poll catches up.
    LogEvent("table_changes_stale", LogSeverity::kWarning)
        .With("table", this->table)
        .With("version", changes->version)
        .With("held", *this->version);
    co_await this->Pause(kBatchPause);
    co_return;
  }
  if (this->events.on_fetched && !changes->rows.empty()) {
    this->events.on_fetched(complete_since, *changes);
  }
  this->Accept(*changes);
  this->was_poll_quiet = changes->rows.empty();
  if (!changes->rows.empty()) {
    co_await this->Pause(kBatchPause);
  }
}

net::awaitable<void> TableFollower::State::OnFailure(RowStoreError error) {
  if (error == RowStoreError::kHistoryGone) {
    LogEvent("table_history_gone", LogSeverity::kWarning)
        .With("table", this->table)
        .With("version", *this->version);
    this->needs_whole = true;
    co_return;
  }
  if (this->available != false) {
    LogEvent("store_lost", LogSeverity::kWarning)
        .With("table", this->table)
        .With("reason", RowStoreErrorName(error))
        .With("last_answer_ms_ago", this->MillisecondsSinceAnswer());
  }
  this->SetAvailable(false);
  const double jitter = 0.5 + this->random.Fraction();
  const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->retry_pause * jitter);
  this->retry_pause = std::min(this->retry_pause * 2, this->max_retry_pause);
  this->is_pausing_after_failure = true;
  co_await this->Pause(pause);
  this->is_pausing_after_failure = false;
}

void TableFollower::State::RecordRowVersions(const TableRows& rows) {
  for (const TableRow& row : rows.rows) {
    this->newest_row = NewerVersion(this->newest_row, row.version);
    this->last_change = NewerVersion(this->last_change, row.version);
  }
}

// Called when a change that another entry knows of did not arrive in time.
void TableFollower::State::AbandonWait() {
  // Between two calls there is nothing to abandon: the next one follows soon.
  const bool arrived = this->version && this->expected <= *this->version;
  if (arrived || !(this->in_call || this->awaits_relay)) {
    return;
  }
  LogEvent("table_behind", LogSeverity::kWarning)
      .With("table", this->table)
      .With("version", this->version.value_or(RowVersion()))
      .With("others_know", this->expected)
      .With("last_answer_ms_ago", this->MillisecondsSinceAnswer());
  // The store is asked on a new connection in any case: the relay may be
  // missing because connections have gone silent, the one to the store among
  // them.
  this->store->Abort();
  if (this->awaits_relay) {
    this->is_behind = true;
    this->timer.cancel();
  } else {
    this->wait_abandoned = true;
  }
}

void TableFollower::State::SetAvailable(bool now_available) {
  if (this->available == now_available) {
    return;
  }
  if (now_available && this->available.has_value()) {
    LogEvent("store_regained").With("table", this->table);
  }
  this->available = now_available;
  this->events.on_available(now_available);
}

net::awaitable<void> TableFollower::State::Pause(
    std::chrono::milliseconds duration) {
  this->timer.expires_after(duration);
  co_await this->timer.async_wait(kAwait);
}

TableFollower::TableFollower(const net::any_io_executor& executor,
                             std::string table,
                             std::unique_ptr<RowStore> store,
                             TableEvents events,
                             const Clock& clock,
                             RandomSource& random)
    : state(std::make_shared<State>(executor, clock, random)) {
  this->state->table = std::move(table);
  this->state->store = std::move(store);
  this->state->events = std::move(events);
}

TableFollower::~TableFollower() {
  this->Stop();
}

void TableFollower::Start() {
  SpawnLoop(this->state->executor, "follow_" + this->state->table,
            [state = this->state] { return state->Run(); });
}

void TableFollower::Stop() {
  this->state->stopped = true;
  this->state->timer.cancel();
  this->state->arrival_timer.cancel();
  this->state->store->Abort();
}

void TableFollower::ExpectVersion(RowVersion version) {
  State& state = *this->state;
  const bool known = state.version && version <= *state.version;
  if (known) {
    return;
  }
  state.expected = NewerVersion(state.expected, version);
  if (std::exchange(state.is_arrival_timer_armed, true)) {
    return;
  }
  state.arrival_timer.expires_after(state.awaits_relay ? state.relay_timeout
                                                       : kArrivalTimeout);
  state.arrival_timer.async_wait([weak = std::weak_ptr<State>(this->state)](
                                     const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (self && !error) {
      self->is_arrival_timer_armed = false;
      self->AbandonWait();
    }
  });
}

void TableFollower::RetryNow() {
  if (this->state->is_pausing_after_failure) {
    this->state->timer.cancel();
  }
}

void TableFollower::SetReadByOthers(bool read_by_others) {
  State& state = *this->state;
  state.read_by_others = read_by_others;
  if (!read_by_others && state.awaits_relay) {
    state.timer.cancel();
  }
}

void TableFollower::SetPollTurn(std::optional<PollTurn> turn) {
  this->state->poll_turn = turn;
}

void TableFollower::ApplyRelayed(RowVersion after, const TableRows& changes) {
  State& state = *this->state;
  const bool is_contiguous = !state.needs_whole && state.version &&
                             after <= *state.version &&
                             changes.version > *state.version;
  if (is_contiguous) {
    state.Accept(changes);
  }
}

bool TableFollower::ApplyNewest(const TableRows& newest) {
  State& state = *this->state;
  if (newest.version <= this->Version()) {
    return false;
  }
  state.version = this->Version();
  // This entry has not read what lies in between, and has not relayed it.
  state.gap_free_since.reset();
  state.Accept(newest);
  state.last_change = newest.version;
  return true;
}

void TableFollower::SetRelayTimeout(Duration timeout) {
  this->state->relay_timeout = timeout;
}

void TableFollower::SetMaxRetryPause(Duration pause) {
  this->state->max_retry_pause = pause;
}

RowVersion TableFollower::GapFreeSince() const {
  const State& state = *this->state;
  return state.available == true ? state.gap_free_since.value_or(RowVersion())
                                 : RowVersion();
}

RowVersion TableFollower::Version() const {
  return this->state->version.value_or(RowVersion());
}

RowVersion TableFollower::NewestKnownRow() const {
  return NewerVersion(this->state->newest_row, this->state->expected);
}

}  // namespace acacia
