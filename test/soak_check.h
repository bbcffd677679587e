// What callers, backend servers and the operator of a soak have seen, and the
// promises that it must keep. Times count from the start of the soak.
#ifndef TEST_SOAK_CHECK_H_
#define TEST_SOAK_CHECK_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace acacia {

using SoakTime = std::chrono::milliseconds;

// One request as its caller saw it.
struct CallRecord {
  enum class End { kAnswered, kClosed, kCutAnswer, kCallerLeft, kNoAnswer };

  std::string id;
  int entry = 0;
  // The path's prefix, which selects the route.
  std::string prefix;
  bool safe = false;
  // An answer had come on the connection before.
  bool kept_connection = false;
  SoakTime head_sent{};
  // All of it has been sent, the last byte at `last_byte`.
  bool whole = false;
  SoakTime last_byte{};
  SoakTime ended{};
  SoakTime deadline{};
  End end = End::kNoAnswer;
  int status = 0;
  // The answer bears the signature of the backend server.
  bool is_signed = false;
  bool own_body = false;
};

// One arrival of a request at a backend server.
struct RunRecord {
  enum class End { kAtWork, kAnswered, kBrokeOff, kRejected };

  std::string id;
  std::string instance;
  std::string service;
  SoakTime begun{};
  SoakTime ended{};
  End end = End::kAtWork;
  bool own_body = true;
};

// A configuration that the store has acknowledged.
struct ConfigurationRecord {
  SoakTime sent{};
  SoakTime acknowledged{};
  // The service of each path prefix that has a route.
  std::map<std::string, std::string> services;
};

// What happened to an entry, to its path to the store (kStoreCut and
// kStoreJoined), to the store (kStoreAway and kStoreBack), to the connections
// to backend servers (kSilence) or of all entries to the store (kStoreSilence)
// or, of registrations, kLeaving: the store has acknowledged that `instance`
// leaves, and kLateHeartbeat: the store performs a write of `instance` that was
// sent before.
struct SoakEvent {
  enum class Kind {
    kStart,
    kStop,
    kStopAgain,
    kReload,
    kFreeze,
    kThaw,
    kKill,
    kOverdueKill,
    kEnd,
    kStoreAway,
    kStoreBack,
    kSilence,
    kLeaving,
    kConfiguration,
    kStoreCut,
    kStoreJoined,
    kStoreSilence,
    kLateHeartbeat,
  };

  Kind kind = Kind::kStart;
  SoakTime at{};
  int entry = -1;
  std::string instance;
  // Of kEnd: the exit code, or minus the signal.
  int status = 0;
};

struct SoakHistory {
  std::vector<CallRecord> calls;
  std::vector<RunRecord> runs;
  std::vector<SoakEvent> events;
  // In the order of their versions.
  std::vector<ConfigurationRecord> configurations;
};

class SoakCheck {
 public:
  static constexpr SoakTime kGrace{6000};
  static constexpr SoakTime kStable{3000};
  static constexpr SoakTime kDrain{2500};
  static constexpr SoakTime kApply{2000};

  explicit SoakCheck(const SoakHistory& history) : history(history) {
    for (const RunRecord& run : history.runs) {
      this->runs[run.id].push_back(&run);
    }
    for (const CallRecord& call : history.calls) {
      this->calls[call.id] = &call;
    }
  }

  // One line for each broken promise, which begins with its rule.
  std::vector<std::string> Violations() {
    this->violations.clear();
    for (const CallRecord& call : this->history.calls) {
      this->CheckAnswer(call);
      this->CheckRuns(call);
      this->CheckLost(call);
      this->CheckConfiguration(call);
    }
    for (const RunRecord& run : this->history.runs) {
      this->CheckDrain(run);
    }
    for (const SoakEvent& event : this->history.events) {
      this->CheckEnd(event);
    }
    return this->violations;
  }

 private:
  using Kind = SoakEvent::Kind;

  // How much later a caller of a busy machine may notice what happened.
  static constexpr SoakTime kNoticed{300};
  static constexpr SoakTime kLossSlack{200};

  static std::string At(SoakTime time) {
    return std::to_string(time.count()) + " ms";
  }

  void Report(const std::string& rule,
              const CallRecord& call,
              const std::string& what) {
    std::string line =
        rule + " " + call.id + " at entry " + std::to_string(call.entry) +
        ", sent " + At(call.head_sent) + " to " + At(call.last_byte) +
        ", ended " + At(call.ended) + ", deadline " + At(call.deadline) +
        ", status " + std::to_string(call.status) + ": " + what;
    for (const RunRecord* run : this->runs[call.id]) {
      line +=
          "; at " + run->instance + " from " + At(run->begun) +
          (run->end == RunRecord::End::kAtWork
               ? " on"
               : " to " + At(run->ended) +
                     (run->end == RunRecord::End::kAnswered   ? " answered"
                      : run->end == RunRecord::End::kBrokeOff ? " broke off"
                                                              : " rejected"));
    }
    this->violations.push_back(line);
  }

  void CheckAnswer(const CallRecord& call) {
    if (call.end != CallRecord::End::kAnswered) {
      return;
    }
    if (call.status / 100 == 2 && !(call.is_signed && call.own_body)) {
      this->Report("MIXED", call, "not the backend server's whole answer");
    }
  }

  void CheckRuns(const CallRecord& call) {
    const std::vector<const RunRecord*>& arrivals = this->runs[call.id];
    const auto ran = std::count_if(
        arrivals.begin(), arrivals.end(),
        [](const auto* run) { return run->end != RunRecord::End::kRejected; });
    if (!call.safe && ran > 1) {
      this->Report("TWICE", call, "ran " + std::to_string(ran) + " times");
    }
    const bool promised_not_run = call.status == 429 || call.status == 503 ||
                                  call.status == 408 || call.status == 421;
    if (!call.safe && promised_not_run && ran > 0) {
      this->Report("REFUSED", call, "has run");
    }
    if (std::any_of(arrivals.begin(), arrivals.end(),
                    [](const auto* run) { return !run->own_body; })) {
      this->Report("UNASKED", call, "another body has run");
    }
  }

  // Whether, between the times, the entry was killed, frozen or not running
  // after a kill, or connections went silent.
  bool IsDisturbed(int entry, SoakTime from, SoakTime to) const {
    bool disturbed = false;
    for (const SoakEvent& event : this->history.events) {
      if (event.at > to) {
        break;
      }
      if (event.kind == Kind::kSilence) {
        disturbed = disturbed || event.at >= from;
      }
      if (event.entry != entry) {
        continue;
      }
      if (event.kind == Kind::kKill || event.kind == Kind::kOverdueKill ||
          event.kind == Kind::kFreeze) {
        disturbed = true;
      }
      const bool over = event.kind == Kind::kThaw || event.kind == Kind::kEnd;
      if (over && event.at < from) {
        disturbed = false;
      }
    }
    return disturbed;
  }

  // The last stop of the entry before `time`.
  const SoakEvent* StopBefore(int entry, SoakTime time) const {
    const SoakEvent* last = nullptr;
    for (const SoakEvent& event : this->history.events) {
      if (event.entry == entry && event.kind == Kind::kStop &&
          event.at <= time) {
        last = &event;
      }
    }
    return last != nullptr && time <= last->at + kGrace + kNoticed ? last
                                                                   : nullptr;
  }

  void CheckLost(const CallRecord& call) {
    if (!call.whole || call.end == CallRecord::End::kCallerLeft ||
        this->IsDisturbed(call.entry, call.head_sent - kStable, call.ended)) {
      return;
    }
    if (call.end == CallRecord::End::kNoAnswer) {
      this->Report("LOST", call, "no answer long after its deadline");
      return;
    }
    if (call.ended + kNoticed >= call.head_sent + call.deadline) {
      return;
    }
    const std::vector<const RunRecord*>& arrivals = this->runs[call.id];
    const SoakEvent* stop = this->StopBefore(call.entry, call.ended);
    bool at_work = false;
    for (const RunRecord* run : arrivals) {
      const bool unfinished = run->end == RunRecord::End::kAtWork;
      if (run->end == RunRecord::End::kBrokeOff) {
        return;
      }
      if (stop != nullptr && call.last_byte <= stop->at + SoakTime(3000) &&
          (unfinished || run->ended >= stop->at + kGrace * 5 / 6)) {
        return;
      }
      at_work = at_work || unfinished || run->ended > call.ended + kNoticed;
    }
    if (call.end == CallRecord::End::kAnswered) {
      if (stop != nullptr && at_work && !call.is_signed) {
        this->Report("LOST", call, "answered by the entry while at work");
      }
    } else if (!arrivals.empty()) {
      this->Report("LOST", call, "passed on and not answered");
    } else if (call.kept_connection &&
               call.ended > call.last_byte + kLossSlack + kNoticed) {
      this->Report("LOST", call, "read and not answered");
    }
  }

  // Whether, between the times, the store was sound and the entry's path to it.
  bool IsStoreReachable(int entry, SoakTime from, SoakTime to) const {
    int disruptions = 0;
    for (const SoakEvent& event : this->history.events) {
      if (event.at > to) {
        break;
      }
      const bool own = event.entry == entry;
      const bool begins = event.kind == Kind::kStoreAway ||
                          (event.kind == Kind::kStoreCut && own);
      const bool ends = event.kind == Kind::kStoreBack ||
                        (event.kind == Kind::kStoreJoined && own);
      if ((begins || ends) && event.at >= from) {
        return false;
      }
      disruptions += begins ? 1 : ends ? -1 : 0;
    }
    return disruptions == 0;
  }

  // Whether, between the times, the entry was stopped, started, ended or
  // harmed, or its connections to the store went silent.
  bool HasOwnEvent(int entry, SoakTime from, SoakTime to) const {
    return std::any_of(
        this->history.events.begin(), this->history.events.end(),
        [&](const SoakEvent& event) {
          const bool concerns =
              event.kind == Kind::kStoreSilence ||
              (event.entry == entry && event.kind != Kind::kReload);
          return concerns && event.at >= from && event.at <= to;
        });
  }

  // Whether the entry was in touch, from kStable before `from` until `to`: it
  // ran without a stop or start, and reached a sound store.
  bool IsInTouch(int entry, SoakTime from, SoakTime to) const {
    const SoakTime since = from - kStable;
    return !this->IsDisturbed(entry, since, to) &&
           this->IsStoreReachable(entry, since, to) &&
           !this->HasOwnEvent(entry, since, to);
  }

  // The services that the configurations which may be in force for a request
  // name for its path, "" where one has no route for it.
  std::set<std::string> AllowedServices(const CallRecord& call) const {
    std::set<std::string> allowed;
    const auto& all = this->history.configurations;
    for (std::size_t i = 0; i < all.size(); ++i) {
      const bool superseded = i + 1 < all.size() &&
                              all[i + 1].acknowledged + kApply < call.head_sent;
      if (!superseded && all[i].sent <= call.ended) {
        const auto found = all[i].services.find(call.prefix);
        allowed.insert(found == all[i].services.end() ? "" : found->second);
      }
    }
    return allowed;
  }

  void CheckConfiguration(const CallRecord& call) {
    const std::set<std::string> allowed = this->AllowedServices(call);
    if (allowed.empty() ||
        !this->IsInTouch(call.entry, call.head_sent, call.ended)) {
      return;
    }
    constexpr int kNoRoute = 404;
    if (call.status == kNoRoute && !call.is_signed && !allowed.contains("")) {
      this->Report("CONFIG", call, "refused though " + call.prefix + " exists");
    }
    for (const RunRecord* run : this->runs[call.id]) {
      if (run->end != RunRecord::End::kRejected &&
          !allowed.contains(run->service)) {
        this->Report("CONFIG", call,
                     "run by " + run->service +
                         " as only an older version of " + call.prefix +
                         " allows");
      }
    }
  }

  void CheckDrain(const RunRecord& run) {
    const auto call = this->calls.find(run.id);
    if (run.end == RunRecord::End::kRejected || call == this->calls.end()) {
      return;
    }
    for (const SoakEvent& leaving : this->history.events) {
      if (leaving.kind != Kind::kLeaving || leaving.instance != run.instance ||
          run.begun <= leaving.at + kDrain) {
        continue;
      }
      const int entry = call->second->entry;
      const SoakTime since = run.begun - kStable;
      const bool excused =
          !this->IsStoreReachable(entry, since, run.begun) ||
          this->HasOwnEvent(entry, since, run.begun) ||
          std::any_of(this->history.events.begin(), this->history.events.end(),
                      [&](const SoakEvent& event) {
                        const bool store = event.kind == Kind::kStoreAway ||
                                           event.kind == Kind::kStoreBack;
                        return store && event.at >= leaving.at - kStable &&
                               event.at <= run.begun;
                      });
      if (!excused) {
        this->Report("DRAIN", *call->second,
                     "its backend server left at " + At(leaving.at));
      }
      return;
    }
  }

  void CheckEnd(const SoakEvent& event) {
    if (event.kind == Kind::kOverdueKill &&
        !this->IsDisturbed(event.entry, event.at - kGrace,
                           event.at - SoakTime(1))) {
      this->violations.push_back("STOP entry " + std::to_string(event.entry) +
                                 " was still there 6 s after SIGTERM, at " +
                                 At(event.at));
    }
    if (event.kind != Kind::kEnd) {
      return;
    }
    const SoakEvent* cause = nullptr;
    for (const SoakEvent& each : this->history.events) {
      if (each.entry == event.entry && each.at <= event.at &&
          (each.kind == Kind::kStart || each.kind == Kind::kStop ||
           each.kind == Kind::kKill || each.kind == Kind::kOverdueKill)) {
        cause = &each;
      }
    }
    constexpr int kKilled = -9;
    const bool asked =
        cause != nullptr &&
        ((cause->kind == Kind::kStop && event.status == 0) ||
         ((cause->kind == Kind::kKill || cause->kind == Kind::kOverdueKill) &&
          (event.status == kKilled || event.status == 0)));
    if (!asked) {
      this->violations.push_back("FAULT entry " + std::to_string(event.entry) +
                                 " ended by itself at " + At(event.at) +
                                 " with status " +
                                 std::to_string(event.status));
    }
  }

  const SoakHistory& history;
  std::map<std::string, std::vector<const RunRecord*>> runs;
  std::map<std::string, const CallRecord*> calls;
  std::vector<std::string> violations;
};

}  // namespace acacia

#endif  // TEST_SOAK_CHECK_H_
