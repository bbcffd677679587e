#include "src/lease.h"

#include <utility>

#include "src/flat_table.h"
#include "src/log_event.h"

namespace acacia {
namespace {

constexpr Duration kLeaseDuration = std::chrono::seconds(15);
// Covers clock drift and the time between a check of IsHeld() and the action
// that relies on it.
constexpr Duration kSafetyMargin = std::chrono::seconds(3);
constexpr Duration kRenewInterval = std::chrono::seconds(5);
constexpr Duration kObserveInterval = std::chrono::seconds(5);
constexpr Duration kOperationTimeout = std::chrono::seconds(10);

}  // namespace

Lease::Lease(std::string row_key,
             std::string holder,
             RandomSource& random,
             OperationIds& operations)
    : row_key(std::move(row_key)),
      holder(std::move(holder)),
      random(random),
      operations(operations) {}

bool Lease::IsHeld(TimePoint now) const {
  return this->held_until && now < *this->held_until;
}

void Lease::OnTick(bool wanted, TimePoint now, AgentActions& actions) {
  if (this->step != Step::kIdle &&
      now - this->operation_sent > kOperationTimeout) {
    this->step = Step::kIdle;
  }
  if (!wanted || this->step != Step::kIdle || now < this->next_attempt) {
    return;
  }
  const bool held = this->IsHeld(now);
  const Duration interval = held ? kRenewInterval : kObserveInterval;
  const auto jitter = std::chrono::milliseconds(this->random.Below(1000));
  this->next_attempt = now + interval - jitter;
  if (held) {
    this->Write(this->held_token, this->held_version, now, actions);
    return;
  }
  this->step = Step::kReading;
  this->operation = this->operations.Take();
  this->operation_sent = now;
  actions.push_back(ReadRow{this->operation, this->row_key});
}

void Lease::Write(std::uint64_t next_token,
                  RowVersion expected,
                  TimePoint now,
                  AgentActions& actions) {
  this->step = Step::kWriting;
  this->operation = this->operations.Take();
  this->operation_sent = now;
  schema::LeaseRowT row;
  row.holder = this->holder;
  row.fencing_token = next_token;
  row.duration_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(kLeaseDuration)
          .count());
  row.write_id = this->holder + "/" + std::to_string(++this->write_count);
  this->last_write_id = row.write_id;
  this->last_write_sent = now;
  this->last_write_token = next_token;
  actions.push_back(WriteRow{this->operation, this->row_key, expected,
                             PackTable<schema::LeaseRow>(row)});
}

bool Lease::OnRowRead(OperationId operation_in,
                      const RowResult& result,
                      TimePoint now,
                      AgentActions& actions) {
  if (this->step != Step::kReading || operation_in != this->operation) {
    return false;
  }
  this->step = Step::kIdle;
  if (!result) {
    return true;
  }
  const auto row = UnpackTable<schema::LeaseRow>(result->value);
  if (result->version == RowVersion() || !row) {
    this->Write(1, result->version, now, actions);
    return true;
  }
  if (row->write_id == this->last_write_id) {
    // The last write succeeded, but its reply was lost.
    this->held_token = this->last_write_token;
    this->held_version = result->version;
    this->held_until = this->last_write_sent + kLeaseDuration - kSafetyMargin;
    return true;
  }
  if (result->version != this->observed_version) {
    this->observed_version = result->version;
    this->observed_since = now;
    return true;
  }
  const auto duration = std::chrono::milliseconds(row->duration_ms);
  if (now - this->observed_since >= duration) {
    this->Write(row->fencing_token + 1, result->version, now, actions);
  }
  return true;
}

bool Lease::OnRowWritten(OperationId operation_in,
                         const WriteResult& result,
                         TimePoint now) {
  if (this->step != Step::kWriting || operation_in != this->operation) {
    return false;
  }
  this->step = Step::kIdle;
  if (result) {
    if (this->held_token != this->last_write_token) {
      LogEvent("lease_acquired")
          .With("lease", this->row_key)
          .With("fencing_token", this->last_write_token);
    }
    this->held_token = this->last_write_token;
    this->held_version = *result;
    this->held_until = this->last_write_sent + kLeaseDuration - kSafetyMargin;
    return true;
  }
  if (result.error() == PlatformError::kConflict) {
    this->held_until.reset();
  }
  if (result.error() != PlatformError::kUnavailable) {
    // The next tick reads the row to find out whether the write took effect.
    this->held_until.reset();
    this->next_attempt = now;
  }
  return true;
}

}  // namespace acacia
