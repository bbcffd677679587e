#include "src/request_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "src/log_event.h"

namespace acacia {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A report of good answers that arrives later than this after a crash is about
// answers that ended after it.
constexpr Duration kReportDelay = milliseconds(300);
// Without crashing in between, a backend server answers again within this time.
// Later it may have been restarted.
constexpr Duration kMinRestartTime = std::chrono::seconds(1);
// Bound on the error of the times that other entries report, which their
// messages' delays differ by.
constexpr Duration kReportJitter = milliseconds(10);
constexpr Duration kCleanupInterval = std::chrono::seconds(1);

std::uint64_t HashPart(std::string_view part, std::uint64_t seed) {
  return XXH3_64bits_withSeed(part.data(), part.size(), seed);
}

std::uint32_t MillisecondsSince(TimePoint since, TimePoint now) {
  const auto age = duration_cast<milliseconds>(now - since).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0));
}

}  // namespace

RequestFingerprint FingerprintOf(const RequestContent& content) {
  std::uint64_t hash = HashPart(content.method, content.body_bytes);
  for (const std::string_view part :
       {content.host, content.target, content.body_prefix}) {
    hash = HashPart(part, hash);
  }
  return RequestFingerprint(std::max<std::uint64_t>(hash, 1));
}

RequestQuarantine::RequestQuarantine(std::unique_ptr<RandomSource> random)
    : random(std::move(random)) {}

std::optional<Duration> RequestQuarantine::Remaining(
    RequestFingerprint fingerprint,
    TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->records.find(fingerprint);
  if (found == this->records.end() || !IsInForce(found->second, now)) {
    return std::nullopt;
  }
  return found->second.until - now;
}

void RequestQuarantine::OnBroken(RequestFingerprint fingerprint,
                                 const BackendId& backend,
                                 TimePoint started,
                                 TimePoint now) {
  if (fingerprint == RequestFingerprint()) {
    return;
  }
  const std::lock_guard lock(this->mutex);
  this->AddCrash(fingerprint, {backend, started, now, true}, now);
  this->AddReport(schema::RequestEvent::Crashed, fingerprint, backend, started,
                  now);
}

void RequestQuarantine::OnAnswered(RequestFingerprint fingerprint,
                                   TimePoint now) {
  const std::lock_guard lock(this->mutex);
  if (this->Clear(fingerprint)) {
    this->AddReport(schema::RequestEvent::Answered, fingerprint, BackendId(),
                    now, now);
  }
}

void RequestQuarantine::OnBackendAlive(const BackendId& backend,
                                       TimePoint started,
                                       TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->WithdrawCrashes(backend, started, now);
}

void RequestQuarantine::OnBackendReportedGood(const BackendId& backend,
                                              TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->WithdrawCrashes(backend, now - kReportDelay, now);
}

std::vector<schema::RequestReportT> RequestQuarantine::TakeReports(
    TimePoint now) {
  const std::lock_guard lock(this->mutex);
  std::vector<schema::RequestReportT> taken;
  for (PendingReport& each : std::exchange(this->reports, {})) {
    each.report.ended_ms_ago = MillisecondsSince(each.ended, now);
    taken.push_back(std::move(each.report));
  }
  return taken;
}

void RequestQuarantine::OnPeerReports(
    const std::vector<schema::RequestReportT>& reports,
    TimePoint now) {
  const std::lock_guard lock(this->mutex);
  for (const schema::RequestReportT& each : reports) {
    const RequestFingerprint fingerprint(each.fingerprint);
    const BackendId backend(each.backend);
    if (fingerprint == RequestFingerprint()) {
      continue;
    }
    switch (each.event) {
      case schema::RequestEvent::Crashed: {
        const TimePoint ended = now - milliseconds(each.ended_ms_ago);
        const TimePoint started = ended - milliseconds(each.ran_ms);
        this->AddCrash(fingerprint, {backend, started, ended, false}, now);
        break;
      }
      case schema::RequestEvent::Withdrawn:
        this->RemoveCrash(fingerprint, backend, now);
        break;
      case schema::RequestEvent::Answered:
        this->Clear(fingerprint);
        break;
    }
  }
}

std::vector<schema::QuarantinedRequestT> RequestQuarantine::Quarantines(
    TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  std::vector<schema::QuarantinedRequestT> in_force;
  std::vector<schema::QuarantinedRequestT> released;
  for (const RequestFingerprint fingerprint : this->quarantined) {
    const Record& record = this->records.at(fingerprint);
    if (now >= record.until) {
      continue;
    }
    schema::QuarantinedRequestT& each =
        (record.released ? released : in_force).emplace_back();
    each.fingerprint = fingerprint.Value();
    each.count = record.count;
    each.began_ms_ago = MillisecondsSince(record.began, now);
    each.released = record.released;
  }
  in_force.insert(in_force.end(), released.begin(), released.end());
  in_force.resize(std::min(in_force.size(), kMaxQuarantined));
  return in_force;
}

void RequestQuarantine::OnPeerQuarantines(
    const std::vector<schema::QuarantinedRequestT>& quarantines,
    TimePoint now) {
  const std::lock_guard lock(this->mutex);
  for (const schema::QuarantinedRequestT& each : quarantines) {
    const RequestFingerprint fingerprint(each.fingerprint);
    const auto found = this->records.find(fingerprint);
    const bool is_known = found != this->records.end();
    if (is_known && each.count == found->second.count && each.released &&
        !found->second.released) {
      this->Release(fingerprint, found->second);
    }
    const std::uint32_t known_count = is_known ? found->second.count : 0;
    if (fingerprint == RequestFingerprint() || each.count <= known_count ||
        this->CountInForce(now) >= kMaxQuarantined) {
      continue;
    }
    this->MakeRoom(now);
    Record& record = this->records[fingerprint];
    record.count = each.count;
    record.adopted = true;
    record.released = each.released;
    this->SetTimes(record, now - milliseconds(each.began_ms_ago));
    this->quarantined.insert(fingerprint);
    this->changed = true;
    LogEvent("request_quarantined", LogSeverity::kWarning)
        .With("fingerprint", fingerprint)
        .With("count", record.count)
        .With("released", record.released)
        .With("source", "peer");
  }
}

bool RequestQuarantine::TakeChanged() {
  const std::lock_guard lock(this->mutex);
  return std::exchange(this->changed, false);
}

std::size_t RequestQuarantine::QuarantinedCount(TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  return this->CountInForce(now);
}

std::vector<std::string> RequestQuarantine::Explain(TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> lines;
  for (const RequestFingerprint fingerprint : this->quarantined) {
    const Record& record = this->records.at(fingerprint);
    if (!IsInForce(record, now)) {
      continue;
    }
    std::ostringstream line;
    line << "quarantined request " << fingerprint << ", for "
         << duration_cast<std::chrono::seconds>(record.until - now).count()
         << " s, time " << record.count;
    lines.push_back(line.str());
  }
  return lines;
}

// Returns the length of the longest sequence of crashes in which each attempt
// began after the crash before. `crashes` is in the order of the ends.
int RequestQuarantine::CountSuccessive(const std::vector<Crash>& crashes) {
  int count = 0;
  TimePoint last_ended = TimePoint::min();
  for (const Crash& crash : crashes) {
    if (crash.started >= last_ended) {
      ++count;
      last_ended = crash.ended - kReportJitter;
    }
  }
  return count;
}

void RequestQuarantine::AddCrash(RequestFingerprint fingerprint,
                                 const Crash& crash,
                                 TimePoint now) {
  this->MakeRoom(now);
  Record& record = this->records[fingerprint];
  if (IsInForce(record, now)) {
    return;
  }
  const bool has_relapsed = record.count > 0 && !record.released;
  if (has_relapsed && crash.started >= record.until) {
    this->ClearCrashes(fingerprint, record);
    record.needed_crashes = 1;
  }
  std::erase_if(record.crashes, [&crash](const Crash& each) {
    return each.backend == crash.backend;
  });
  const auto at = std::upper_bound(
      record.crashes.begin(), record.crashes.end(), crash,
      [](const Crash& a, const Crash& b) { return a.ended < b.ended; });
  record.crashes.insert(at, crash);
  this->by_backend[crash.backend].insert(fingerprint);
  if (record.crashes.size() > kMaxCrashesKept) {
    this->Unindex(fingerprint, record.crashes.front().backend);
    record.crashes.erase(record.crashes.begin());
  }
  const int successive = CountSuccessive(record.crashes);
  if (crash.own) {
    LogEvent("request_crashed_backend", LogSeverity::kWarning)
        .With("fingerprint", fingerprint)
        .With("backend_server", crash.backend)
        .With("successive", successive)
        .With("needed", record.needed_crashes);
  }
  if (successive >= record.needed_crashes) {
    this->Begin(fingerprint, record, now);
  }
}

// Returns true if there was such a crash of an attempt of this entry.
bool RequestQuarantine::RemoveCrash(RequestFingerprint fingerprint,
                                    const BackendId& backend,
                                    TimePoint now) {
  const auto found = this->records.find(fingerprint);
  if (found == this->records.end()) {
    return false;
  }
  Record& record = found->second;
  const auto crash = std::find_if(
      record.crashes.begin(), record.crashes.end(),
      [&backend](const Crash& each) { return each.backend == backend; });
  if (crash == record.crashes.end()) {
    return false;
  }
  const bool own = crash->own;
  record.crashes.erase(crash);
  this->Unindex(fingerprint, backend);
  if (IsInForce(record, now) && !record.adopted &&
      CountSuccessive(record.crashes) < record.needed_crashes) {
    this->Release(fingerprint, record);
  }
  this->EraseIfEmpty(fingerprint);
  return own;
}

// The backend server answered a request that it got at `alive_at`.
void RequestQuarantine::WithdrawCrashes(const BackendId& backend,
                                        TimePoint alive_at,
                                        TimePoint now) {
  const auto indexed = this->by_backend.find(backend);
  if (indexed == this->by_backend.end()) {
    return;
  }
  const std::set<RequestFingerprint> fingerprints = indexed->second;
  for (const RequestFingerprint fingerprint : fingerprints) {
    const std::vector<Crash>& crashes = this->records.at(fingerprint).crashes;
    const bool is_refuted =
        std::any_of(crashes.begin(), crashes.end(), [&](const Crash& each) {
          return each.backend == backend && each.ended <= alive_at &&
                 alive_at - each.ended < kMinRestartTime;
        });
    if (is_refuted && this->RemoveCrash(fingerprint, backend, now)) {
      LogEvent("request_crash_withdrawn")
          .With("fingerprint", fingerprint)
          .With("backend_server", backend);
      this->AddReport(schema::RequestEvent::Withdrawn, fingerprint, backend,
                      now, now);
    }
  }
}

// Forgets the crashes and ends the quarantine. Returns true if there was any.
bool RequestQuarantine::Clear(RequestFingerprint fingerprint) {
  const auto found = this->records.find(fingerprint);
  if (found == this->records.end()) {
    return false;
  }
  Record& record = found->second;
  const bool is_held = record.count > 0 && !record.released;
  const bool has_crashes = !record.crashes.empty();
  this->ClearCrashes(fingerprint, record);
  if (is_held) {
    this->Release(fingerprint, record);
  }
  this->EraseIfEmpty(fingerprint);
  return is_held || has_crashes;
}

void RequestQuarantine::ClearCrashes(RequestFingerprint fingerprint,
                                     Record& record) {
  for (const Crash& crash : std::exchange(record.crashes, {})) {
    this->Unindex(fingerprint, crash.backend);
  }
}

void RequestQuarantine::Unindex(RequestFingerprint fingerprint,
                                const BackendId& backend) {
  const auto indexed = this->by_backend.find(backend);
  indexed->second.erase(fingerprint);
  if (indexed->second.empty()) {
    this->by_backend.erase(indexed);
  }
}

// An entry without peers never sends its reports: the oldest are dropped.
void RequestQuarantine::AddReport(schema::RequestEvent event,
                                  RequestFingerprint fingerprint,
                                  const BackendId& backend,
                                  TimePoint started,
                                  TimePoint ended) {
  if (this->reports.size() >= kMaxUnsentReports) {
    this->reports.pop_front();
  }
  schema::RequestReportT report;
  report.fingerprint = fingerprint.Value();
  report.event = event;
  report.backend = backend.Value();
  report.ran_ms = MillisecondsSince(started, ended);
  this->reports.push_back({std::move(report), ended});
}

void RequestQuarantine::Begin(RequestFingerprint fingerprint,
                              Record& record,
                              TimePoint now) {
  if (this->CountInForce(now) >= kMaxQuarantined) {
    LogEvent("request_quarantine_full", LogSeverity::kWarning)
        .With("fingerprint", fingerprint);
    return;
  }
  ++record.count;
  record.released = false;
  record.adopted = false;
  this->SetTimes(record, now);
  this->quarantined.insert(fingerprint);
  this->changed = true;
  LogEvent("request_quarantined", LogSeverity::kWarning)
      .With("fingerprint", fingerprint)
      .With("count", record.count)
      .With("crashes", record.crashes.size())
      .With("ms", MillisecondsSince(now, record.until))
      .With("source", "self");
}

void RequestQuarantine::Release(RequestFingerprint fingerprint,
                                Record& record) {
  record.released = true;
  record.needed_crashes = kMinCrashes;
  this->changed = true;
  LogEvent("request_released", LogSeverity::kWarning)
      .With("fingerprint", fingerprint)
      .With("count", record.count);
}

// The quarantine lasts for once to twice its length, by a draw of this entry.
void RequestQuarantine::SetTimes(Record& record, TimePoint began) {
  Duration length = kFirstQuarantine;
  for (std::uint32_t i = 1; i < record.count && length < kMaxQuarantine; ++i) {
    length *= 2;
  }
  length = std::min(length, kMaxQuarantine);
  record.began = began;
  record.until = began + length +
                 duration_cast<Duration>(length * this->random->Fraction());
}

std::size_t RequestQuarantine::CountInForce(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(this->quarantined.begin(), this->quarantined.end(),
                    [this, now](RequestFingerprint each) {
                      return IsInForce(this->records.at(each), now);
                    }));
}

// Drops what is too old and, if there are still too many fingerprints, the one
// whose last crash is the oldest.
void RequestQuarantine::MakeRoom(TimePoint now) {
  if (now - this->cleaned_at < kCleanupInterval &&
      this->records.size() < kMaxFingerprints) {
    return;
  }
  this->cleaned_at = now;
  std::vector<RequestFingerprint> expired;
  auto oldest = this->records.end();
  for (auto each = this->records.begin(); each != this->records.end(); ++each) {
    const Record& record = each->second;
    const TimePoint last_used = std::max(
        record.until, record.crashes.empty() ? TimePoint::min()
                                             : record.crashes.back().ended);
    if (last_used + kCrashMemory <= now) {
      expired.push_back(each->first);
    }
    if (record.count == 0 &&
        (oldest == this->records.end() ||
         record.crashes.back().ended < oldest->second.crashes.back().ended)) {
      oldest = each;
    }
  }
  if (expired.empty() && this->records.size() >= kMaxFingerprints &&
      oldest != this->records.end()) {
    expired.push_back(oldest->first);
  }
  for (const RequestFingerprint fingerprint : expired) {
    this->ClearCrashes(fingerprint, this->records.at(fingerprint));
    this->records.erase(fingerprint);
    this->quarantined.erase(fingerprint);
  }
}

void RequestQuarantine::EraseIfEmpty(RequestFingerprint fingerprint) {
  const auto found = this->records.find(fingerprint);
  if (found->second.count == 0 && found->second.crashes.empty()) {
    this->records.erase(found);
  }
}

}  // namespace acacia
