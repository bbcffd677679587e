// State shared by all caller sessions of an entry. Each member is thread-safe
// on its own; the lock order is in service_table.h.
#ifndef SRC_ENTRY_CONTEXT_H_
#define SRC_ENTRY_CONTEXT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "src/account_quota.h"
#include "src/backend_connection.h"
#include "src/buffer_budget.h"
#include "src/caller_authentication.h"
#include "src/clock.h"
#include "src/connection_limits.h"
#include "src/dialect.h"
#include "src/entry_metrics.h"
#include "src/entry_snapshot.h"
#include "src/generated/entry_link_generated.h"
#include "src/generated/settings_generated.h"
#include "src/request_registry.h"
#include "src/service_table.h"
#include "src/span.h"
#include "src/stop_window.h"

namespace acacia {

enum class EntryPhase {
  kServing,
  // Left the lookup answers; callers that hold an older answer may still
  // connect.
  kLeaving,
  // Accepts no connections and closes each open one after its answer.
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
        connection_limits(DivideDescriptors(settings.max_descriptors,
                                            settings.max_caller_connections)),
        dialect(std::move(dialect)),
        clock(clock),
        services(executor, registry, clock, std::move(factory)),
        buffers(settings.memory_mb * kBytesPerMegabyte /
                kBufferedMemoryDivisor),
        quotas(std::make_unique<SeededRandom>(seed)),
        spans(settings.trace_file),
        request_id_prefix(settings.instance + "-" +
                          std::to_string(seed % kProcessTagCount)),
        random(seed) {}

  // Returns an id that is unique within this process.
  RequestId NextRequest() {
    return RequestId(this->request_count.fetch_add(1) + 1);
  }

  TraceContext NewTrace() {
    const std::lock_guard lock(this->random_mutex);
    return StartTrace(this->random);
  }
  // Uniform over [0, 1); used to split requests by weight.
  double RandomFraction() {
    const std::lock_guard lock(this->random_mutex);
    return this->random.Fraction();
  }
  TraceContext NewChild(const TraceContext& parent) {
    const std::lock_guard lock(this->random_mutex);
    return StartChildSpan(parent, this->random);
  }

  // Whether a connection must close after it has answered the requests read
  // so far.
  bool MustClose() const {
    const EntryPhase now = this->phase.load();
    return now == EntryPhase::kDraining ||
           (now == EntryPhase::kLeaving && this->close_while_leaving);
  }
  // Whether a request that nothing has been sent of yet may be passed on. False
  // only while the entry stops.
  bool MayPassOn(TimePoint deadline) const {
    return this->phase.load() == EntryPhase::kServing ||
           this->stop_window.Admits(this->clock.Now(), deadline);
  }
  // The end of the stop that has begun; min() if none has, or it has no end.
  TimePoint StopEnd() const {
    const bool is_stopping = this->phase.load() != EntryPhase::kServing;
    return is_stopping && this->stop_window.end < TimePoint::max()
               ? this->stop_window.end
               : TimePoint::min();
  }
  // The time at which a caller that neither sends nor receives anything from
  // now on times out.
  TimePoint IdleDeadline() const {
    return this->clock.Now() +
           std::chrono::milliseconds(this->settings.idle_caller_timeout_ms);
  }

  const schema::EntrySettingsT settings;
  const ConnectionLimits connection_limits;
  const Dialect dialect;
  const Clock& clock;
  SnapshotHolder snapshot;
  RequestRegistry registry;
  ServiceTable services;
  ConnectionPool pool;
  // Bodies of requests and answers.
  BufferBudget buffers;
  // Limits of client accounts over the fleet.
  QuotaLimiter quotas;
  EntryMetrics metrics;
  SpanWriter spans;
  // Starts every request id, so that ids differ between instances and restarts.
  const std::string request_id_prefix;
  // Connections close after their answer already in phase kLeaving.
  bool close_while_leaving = false;
  // See EntryPolicy.
  bool deadline_bounds_uploads = false;
  std::atomic<ConfigurationAge> configuration_age{
      ConfigurationAge::kNewestKnown};
  std::atomic<EntryPhase> phase{EntryPhase::kServing};
  // Set before `phase` leaves kServing and constant from then on.
  StopWindow stop_window;
  std::atomic<std::uint32_t> connections{0};
  // Requests whose head has been read and whose answer has not ended.
  std::atomic<std::uint32_t> active_requests{0};
  // Claims an idempotency key through the agent; set before the first session.
  // `done` is called once, on any thread, even if the agent does not answer.
  std::function<void(schema::KeyClaimT, KeyClaimDone)> claim_key;

 private:
  static constexpr std::size_t kBytesPerMegabyte = 1024 * 1024;
  // Bodies get this part of the memory. The rest is for connections, tables,
  // fragmentation, and bodies that are being moved to a larger buffer.
  static constexpr std::size_t kBufferedMemoryDivisor = 3;
  static constexpr std::uint64_t kProcessTagCount = 1000000007;
  std::atomic<std::uint64_t> request_count{0};
  std::mutex random_mutex;
  SeededRandom random;
};

}  // namespace acacia

#endif  // SRC_ENTRY_CONTEXT_H_
