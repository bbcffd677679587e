// Detects requests that crash the backend servers that run them, and keeps such
// requests from further backend servers. A backend server counts as crashed by
// an attempt whose connection ended before a complete answer, unless it answers
// a request that begins soon after. Requests with the same fingerprint are
// quarantined after kMinCrashes crashes of different backend servers, each of
// an attempt that began after the crash before: a fault that ends many attempts
// at once is no sign against a request. Any answer clears a fingerprint.
//
// A quarantine ends after a time that doubles with each relapse; one more crash
// then renews it. Entries report what they see to each other, so that crashes
// count over the fleet, and repeat the quarantines in force for those that
// start or missed them. Each entry draws an end of its own, so that one of them
// tries the request while the others still refuse it.
//
// Thread-safe; no I/O.
#ifndef SRC_REQUEST_QUARANTINE_H_
#define SRC_REQUEST_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/clock.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"
#include "src/random_source.h"

namespace acacia {

// The parts of a request that determine its fingerprint. Headers do not count:
// they differ between callers that send the same request.
struct RequestContent {
  std::string_view method;
  std::string_view host;
  // Path and query.
  std::string_view target;
  // The beginning of the body, as far as it is buffered.
  std::string_view body_prefix;
  std::uint64_t body_bytes = 0;
};

RequestFingerprint FingerprintOf(const RequestContent& content);

class RequestQuarantine {
 public:
  static constexpr int kMinCrashes = 3;
  static constexpr Duration kFirstQuarantine = std::chrono::minutes(1);
  // A backend server that has been mended gets the request again after twice
  // this time at the latest.
  static constexpr Duration kMaxQuarantine = std::chrono::minutes(10);
  // Crashes further apart are not related to each other.
  static constexpr Duration kCrashMemory = std::chrono::minutes(10);
  // Bounds on memory and on the size of messages.
  static constexpr std::size_t kMaxFingerprints = 4096;
  static constexpr std::size_t kMaxCrashesKept = 16;
  static constexpr std::size_t kMaxQuarantined = 16;
  static constexpr std::size_t kMaxUnsentReports = 1024;

  explicit RequestQuarantine(std::unique_ptr<RandomSource> random);

  // How long requests with this fingerprint are refused; nullopt if they may be
  // passed on.
  std::optional<Duration> Remaining(RequestFingerprint fingerprint,
                                    TimePoint now) const;

  // An attempt of this entry, begun at `started`, ended without a complete
  // answer because its connection broke.
  void OnBroken(RequestFingerprint fingerprint,
                const BackendId& backend,
                TimePoint started,
                TimePoint now);
  // An attempt of this entry got a complete answer.
  void OnAnswered(RequestFingerprint fingerprint, TimePoint now);
  // The backend server answered an attempt of this entry that began at
  // `started`.
  void OnBackendAlive(const BackendId& backend,
                      TimePoint started,
                      TimePoint now);
  // Another entry reported good answers of the backend server.
  void OnBackendReportedGood(const BackendId& backend, TimePoint now);

  // Reports for the other entries since the last call.
  std::vector<schema::RequestReportT> TakeReports(TimePoint now);
  void OnPeerReports(const std::vector<schema::RequestReportT>& reports,
                     TimePoint now);

  // The quarantines in force, and those that were ended early, for the other
  // entries.
  std::vector<schema::QuarantinedRequestT> Quarantines(TimePoint now) const;
  void OnPeerQuarantines(
      const std::vector<schema::QuarantinedRequestT>& quarantines,
      TimePoint now);
  // Whether Quarantines() changed since the last call.
  bool TakeChanged();

  // Number of fingerprints that are refused.
  std::size_t QuarantinedCount(TimePoint now) const;
  // One human-readable line per fingerprint that is refused.
  std::vector<std::string> Explain(TimePoint now) const;

 private:
  struct Crash {
    BackendId backend;
    TimePoint started;
    TimePoint ended;
    // Seen by an attempt of this entry, which reports its withdrawal.
    bool own = false;
  };
  struct Record {
    // At most one per backend server, by the time of their ends.
    std::vector<Crash> crashes;
    // Successive crashes that begin the next quarantine.
    int needed_crashes = kMinCrashes;
    // How often the fingerprint has been quarantined. The other members below
    // are about the last time.
    std::uint32_t count = 0;
    TimePoint began{};
    TimePoint until{};
    // Ended early, because the request was answered or did not crash the
    // backend servers.
    bool released = false;
    // Begun by another entry, so `crashes` need not hold its causes.
    bool adopted = false;
  };
  struct PendingReport {
    schema::RequestReportT report;
    TimePoint ended;
  };
  using Records = std::map<RequestFingerprint, Record>;

  static bool IsInForce(const Record& record, TimePoint now) {
    return record.count > 0 && !record.released && now < record.until;
  }
  static int CountSuccessive(const std::vector<Crash>& crashes);

  void AddCrash(RequestFingerprint fingerprint,
                const Crash& crash,
                TimePoint now);
  bool RemoveCrash(RequestFingerprint fingerprint,
                   const BackendId& backend,
                   TimePoint now);
  void WithdrawCrashes(const BackendId& backend,
                       TimePoint alive_at,
                       TimePoint now);
  bool Clear(RequestFingerprint fingerprint);
  void ClearCrashes(RequestFingerprint fingerprint, Record& record);
  void Unindex(RequestFingerprint fingerprint, const BackendId& backend);
  void AddReport(schema::RequestEvent event,
                 RequestFingerprint fingerprint,
                 const BackendId& backend,
                 TimePoint started,
                 TimePoint ended);
  void Begin(RequestFingerprint fingerprint, Record& record, TimePoint now);
  void Release(RequestFingerprint fingerprint, Record& record);
  void SetTimes(Record& record, TimePoint began);
  std::size_t CountInForce(TimePoint now) const;
  void MakeRoom(TimePoint now);
  void EraseIfEmpty(RequestFingerprint fingerprint);

  std::unique_ptr<RandomSource> random;
  // A leaf in the lock order: nothing else is locked while it is held.
  mutable std::mutex mutex;
  Records records;
  // The fingerprints with a crash of this backend server.
  std::map<BackendId, std::set<RequestFingerprint>> by_backend;
  // The fingerprints that have been quarantined.
  std::set<RequestFingerprint> quarantined;
  std::deque<PendingReport> reports;
  bool changed = false;
  TimePoint cleaned_at{};
};

}  // namespace acacia

#endif  // SRC_REQUEST_QUARANTINE_H_
