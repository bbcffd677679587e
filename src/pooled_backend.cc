#include "src/pooled_backend.h"

#include <sstream>

namespace acacia {

namespace {

template <typename Unit>
std::int64_t ShortMedian(const PooledBackend& backend) {
  const auto index = static_cast<std::size_t>(WorkClass::kShort);
  const Duration median = backend.health.latencies[index].Median();
  return std::chrono::duration_cast<Unit>(median).count();
}

std::string DescribeState(const PooledBackend& backend, TimePoint now) {
  if (backend.ejected) {
    return "ejected by the fleet";
  }
  if (backend.leaving || backend.reported_leaving) {
    return backend.leaving ? "leaving" : "leaving, by its own word";
  }
  std::ostringstream text;
  switch (backend.health.State(now)) {
    case BackendHealth::Condition::kAvoided:
      text << "avoided for " << backend.health.Reason() << ", relapses "
           << backend.health.Relapses();
      break;
    case BackendHealth::Condition::kReturning:
      text << "returning at weight " << backend.health.Weight(now);
      break;
    case BackendHealth::Condition::kHealthy:
      text << (backend.slow_start.Weight(now) < 1 ? "warming up"
                                                  : "in service");
  }
  if (backend.limit.ClosedUntil() > now) {
    text << ", refused work just now";
  }
  return text.str();
}

}  // namespace

std::uint32_t PooledBackend::InFlight() const {
  return this->in_flight[0] + this->in_flight[1];
}

double PooledBackend::Weight(TimePoint now) const {
  return this->health.Weight(now) * this->slow_start.Weight(now);
}

bool PooledBackend::IsInService() const {
  return this->in_view && !this->ejected && !this->leaving &&
         !this->reported_leaving;
}

double PooledBackend::Load() const {
  return static_cast<double>(this->InFlight()) / this->server.slots;
}

schema::BackendEvidenceT PooledBackend::TakeEvidence() {
  schema::BackendEvidenceT item;
  item.address = this->server.id.Value();
  item.attempts = this->counts.attempts;
  item.failures = this->counts.failures;
  item.slow = this->counts.slow;
  item.refused = this->counts.refused;
  item.median_latency_us =
      static_cast<std::uint64_t>(ShortMedian<std::chrono::microseconds>(*this));
  item.avoided = this->health.IsAvoided();
  item.leaving = this->reported_leaving;
  item.in_flight = this->InFlight();
  this->counts = {};
  return item;
}

std::string PooledBackend::Explain(TimePoint now) const {
  std::ostringstream line;
  line << this->server.id.Value() << " " << DescribeState(*this, now)
       << "; in flight " << this->InFlight() << " of limit "
       << this->limit.Limit() << ", slots " << this->server.slots
       << ", median latency " << ShortMedian<std::chrono::milliseconds>(*this)
       << " ms, bad outcomes "
       << static_cast<int>(100 * this->health.BadOutcomeRate()) << "%"
       << (this->home ? ", home" : "")
       << (this->takes_long_work ? ", takes long work" : "");
  return line.str();
}

}  // namespace acacia
