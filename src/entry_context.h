// What all sessions of an entry share. Each member is thread-safe by itself;
// the lock order is in service_table.h.
#ifndef SRC_ENTRY_CONTEXT_H_
#define SRC_ENTRY_CONTEXT_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

#include "src/backend_connection.h"
#include "src/clock.h"
#include "src/dialect.h"
#include "src/entry_metrics.h"
#include "src/entry_snapshot.h"
#include "src/generated/entry_link_generated.h"
#include "src/generated/settings_generated.h"
#include "src/request_registry.h"
#include "src/service_table.h"
#include "src/span.h"

namespace acacia {

enum class EntryPhase {
  kServing,
  // Left the lookup answers; callers may still come.
  kLeaving,
  // Accepts no connection and closes each after its answer.
  kDraining,
};

using KeyClaimDone = std::function<void(const schema::KeyClaimReplyT&)>;

struct EntryContext {
  EntryContext(const schema::EntrySettingsT& settings,
               const Clock& clock,
               const boost::asio::any_io_executor& executor,
               DispatcherFactory factory,
               std::uint64_t seed,
               Dialect dialect)
      : settings(settings),
        dialect(std::move(dialect)),
        clock(clock),
        services(executor, registry, clock, std::move(factory)),
        spans(settings.trace_file),
        process_tag(settings.instance + "-" + std::to_string(seed % kTags)),
        random(seed) {}

  RequestId NextRequest() { return RequestId(this->requests.fetch_add(1) + 1); }

  TraceContext NewTrace() {
    const std::lock_guard lock(this->random_mutex);
    return StartTrace(this->random);
  }
  // A number from 0 to below 1, for shares.
  double RandomFraction() {
    const std::lock_guard lock(this->random_mutex);
    return this->random.Fraction();
  }
  TraceContext NewChild(const TraceContext& parent) {
    const std::lock_guard lock(this->random_mutex);
    return StartChild(parent, this->random);
  }

  // Connections close after the answer to what has been read.
  bool MustClose() const {
    const EntryPhase now = this->phase.load();
    return now == EntryPhase::kDraining ||
           (now == EntryPhase::kLeaving && this->close_while_leaving);
  }
  // When a caller that neither sends nor takes anything from now on is given
  // up.
  TimePoint IdleLimit() const {
    return this->clock.Now() +
           std::chrono::milliseconds(this->settings.idle_caller_timeout_ms);
  }

  const schema::EntrySettingsT settings;
  const Dialect dialect;
  const Clock& clock;
  SnapshotHolder snapshot;
  RequestRegistry registry;
  ServiceTable services;
  ConnectionPool pool;
  EntryMetrics metrics;
  SpanWriter spans;
  // Makes request ids differ between instances and restarts.
  const std::string process_tag;
  // Connections close after the answer as soon as the entry leaves.
  bool close_while_leaving = false;
  std::atomic<EntryPhase> phase{EntryPhase::kServing};
  std::atomic<std::uint32_t> connections{0};
  // Requests between their head and the end of their answer.
  std::atomic<std::uint32_t> active_requests{0};
  // Asks the agent for an idempotency key; set before the first session. `done`
  // is called once, on any thread, also when the agent does not answer.
  std::function<void(schema::KeyClaimT, KeyClaimDone)> claim_key;

 private:
  static constexpr std::uint64_t kTags = 1000000007;
  std::atomic<std::uint64_t> requests{0};
  std::mutex random_mutex;
  SeededRandom random;
};

}  // namespace acacia

#endif  // SRC_ENTRY_CONTEXT_H_
