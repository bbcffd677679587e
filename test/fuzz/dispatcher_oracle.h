// Checks the invariants of a dispatcher from outside, using only the events
// passed to it and the actions that it returned.
#ifndef TEST_FUZZ_DISPATCHER_ORACLE_H_
#define TEST_FUZZ_DISPATCHER_ORACLE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "src/dispatcher.h"

namespace acacia {

struct LiveAttempt {
  RequestId request;
  AttemptId attempt;
  BackendId backend;
  WorkClass work_class;
  bool relayed = false;
};

class DispatcherOracle {
 public:
  void OnView(const ServiceView& view) {
    this->view = view;
    // Once the fleet withdraws its confirmation that a backend server is
    // leaving, the backend server's own report no longer counts either.
    std::erase_if(this->reported_leaving, [&](const BackendId& id) {
      return this->confirmed.contains(id) && !view.leaving.contains(id);
    });
    std::erase_if(this->reported_leaving, [this](const BackendId& id) {
      return this->FindServer(id) == nullptr;
    });
    this->confirmed.insert(view.leaving.begin(), view.leaving.end());
    std::erase_if(this->confirmed, [&](const BackendId& id) {
      return !view.leaving.contains(id);
    });
  }

  void OnRequest(const Work& work, TimePoint at) {
    this->requests[work.request].work = work;
    this->arrivals.push_back(at);
    ++this->request_count;
  }

  void OnHead(const LiveAttempt& attempt) { this->answer_head = attempt; }

  void OnEnd(const LiveAttempt& attempt, AttemptResult result, bool leaving) {
    const bool not_run =
        result == AttemptResult::kNotSent || result == AttemptResult::kRefused;
    Request& request = this->requests.at(attempt.request);
    request.may_have_run = request.may_have_run || !not_run;
    request.last_was_not_sent = result == AttemptResult::kNotSent;
    if (result != AttemptResult::kNotSent) {
      request.sent_to.insert(attempt.backend);
    }
    this->refusals += result == AttemptResult::kRefused ? 1 : 0;
    // A backend server that is no longer listed may return as another process.
    if (leaving && this->FindServer(attempt.backend) != nullptr) {
      this->reported_leaving.insert(attempt.backend);
    }
    this->Drop(attempt);
    if (request.relayed) {
      this->requests.erase(attempt.request);
    }
  }

  void OnCallerLeft(RequestId request) { this->left = request; }

  // Checks the actions returned for one event.
  void Check(const DispatchActions& actions,
             std::uint32_t in_flight,
             TimePoint now) {
    this->now = now;
    for (const DispatchAction& action : actions) {
      std::visit([this](const auto& each) { this->On(each); }, action);
    }
    if (this->left) {
      Require(!this->HasLive(*this->left), "a caller left, attempts did not");
      this->requests.erase(*this->left);
      this->left.reset();
    }
    this->answer_head.reset();
    Require(in_flight == this->requests.size(), "InFlight miscounts");
    const auto waiting = std::count_if(
        this->requests.begin(), this->requests.end(),
        [this](const auto& item) { return !this->HasLive(item.first); });
    Require(waiting <= this->view.policy.queue_length, "queue too long");
  }

  // Checks after OnTimer that every request past its deadline has ended, and
  // that the next timer is due by each remaining deadline.
  void CheckTimely(std::optional<TimePoint> next_timer) {
    for (const auto& [id, request] : this->requests) {
      if (!request.relayed) {
        Require(request.work.deadline > this->now, "outlived its deadline");
        Require(next_timer && *next_timer <= request.work.deadline,
                "no timer before a deadline");
      }
    }
  }

  void CheckFloor(const std::vector<schema::BackendEvidenceT>& evidence) {
    std::set<std::string> avoided;
    for (const schema::BackendEvidenceT& item : evidence) {
      if (item.avoided) {
        avoided.insert(item.address);
      }
    }
    std::uint32_t all = 0;
    std::uint32_t usable_slots = 0;
    for (const BackendServer& server : this->view.backend_servers) {
      all += server.slots;
      const bool usable = !this->view.ejected.contains(server.id) &&
                          !this->view.leaving.contains(server.id) &&
                          !this->reported_leaving.contains(server.id) &&
                          !avoided.contains(server.id.Value());
      usable_slots += usable ? server.slots : 0;
    }
    Require(avoided.empty() ||
                usable_slots * 100 >= all * this->view.policy.floor_percent,
            "avoidance went below the floor");
  }

  void CheckBudget(std::uint32_t burst) const {
    // RequireWindow checks each extra attempt where a window applies.
    if (this->view.policy.retry_window) {
      return;
    }
    const double earned =
        this->request_count * this->view.policy.retry_budget_percent / 100.0;
    Require(this->retries <= earned + this->refusals + burst,
            "retries beyond the budget");
  }

  const std::vector<LiveAttempt>& Live() const { return this->live; }
  std::vector<RequestId> Open() const {
    std::vector<RequestId> open;
    for (const auto& [id, request] : this->requests) {
      open.push_back(id);
    }
    return open;
  }

 private:
  // No extra attempt may exceed the bound of the window that it ends.
  void RequireWindow() const {
    const RetryWindow& window = *this->view.policy.retry_window;
    const auto in_window = [&](const std::vector<TimePoint>& times) {
      return std::count_if(times.begin(), times.end(), [&](TimePoint at) {
        return at > this->now - window.window;
      });
    };
    Require(static_cast<double>(in_window(this->charged)) <=
                window.ratio * static_cast<double>(in_window(this->arrivals)) +
                    window.extra,
            "extra attempts beyond the window's bound");
  }

  struct Request {
    Work work;
    AttemptId last;
    bool may_have_run = false;
    bool relayed = false;
    bool last_was_not_sent = false;
    // Backend servers that got at least one byte, by ended attempts.
    std::set<BackendId> sent_to{};
  };

  static constexpr std::uint32_t kMaxAttempts = 32;

  static void Require(bool holds, const char* what) {
    if (!holds) {
      throw std::logic_error(what);
    }
  }

  Request& Find(RequestId id) {
    const auto found = this->requests.find(id);
    Require(found != this->requests.end(), "an action for an ended request");
    Require(!found->second.relayed || this->left == id,
            "an action after RelayAnswer");
    return found->second;
  }

  bool HasLive(RequestId id) const {
    return std::any_of(
        this->live.begin(), this->live.end(),
        [id](const LiveAttempt& each) { return each.request == id; });
  }

  void Drop(const LiveAttempt& attempt) {
    const auto gone = std::erase_if(this->live, [&](const LiveAttempt& each) {
      return each.request == attempt.request && each.attempt == attempt.attempt;
    });
    Require(gone == 1, "an attempt that is not live");
  }

  void On(const StartAttempt& start) {
    Request& request = this->Find(start.request);
    const Work& work = request.work;
    Require(start.attempt == request.last.Next(), "attempts out of order");
    Require(!request.may_have_run || work.idempotent, "ran twice");
    Require(
        !this->HasLive(start.request) || (work.idempotent && work.hedgeable),
        "a second attempt beside the first");
    Require(start.proven_connection == !work.idempotent, "connection kind");
    Require(this->now < work.deadline, "started after its deadline");
    this->RequireFreeSlot(start.backend, work.work_class);
    this->RequireMaxBackends(request, start);
    if (start.attempt.Value() > 1 && !request.last_was_not_sent) {
      this->charged.push_back(this->now);
      if (this->view.policy.retry_window) {
        this->RequireWindow();
      }
    }
    request.last_was_not_sent = false;
    request.last = start.attempt;
    this->retries += start.attempt.Value() > 1 ? 1 : 0;
    this->live.push_back(
        {start.request, start.attempt, start.backend, work.work_class});
  }

  void RequireMaxBackends(const Request& request,
                          const StartAttempt& start) const {
    std::set<BackendId> used = request.sent_to;
    used.insert(start.backend);
    for (const LiveAttempt& each : this->live) {
      if (each.request == start.request) {
        used.insert(each.backend);
      }
    }
    Require(request.work.max_attempts == 0 ||
                used.size() <= request.work.max_attempts,
            "more different backend servers than allowed");
    Require(start.attempt.Value() <= kMaxAttempts, "too many attempts");
  }

  const BackendServer* FindServer(const BackendId& id) const {
    for (const BackendServer& server : this->view.backend_servers) {
      if (server.id == id) {
        return &server;
      }
    }
    return nullptr;
  }

  void RequireFreeSlot(const BackendId& id, WorkClass work_class) const {
    const BackendServer* server = this->FindServer(id);
    Require(server != nullptr, "new work to one that is not listed");
    Require(!this->view.ejected.contains(id), "new work to an ejected one");
    Require(!this->view.leaving.contains(id) &&
                !this->reported_leaving.contains(id),
            "new work to a leaving one");
    std::uint32_t all = 0;
    std::uint32_t long_attempts = 0;
    for (const LiveAttempt& each : this->live) {
      all += each.backend == id ? 1 : 0;
      long_attempts +=
          each.backend == id && each.work_class == WorkClass::kLong ? 1 : 0;
    }
    // With a windowed budget, FleetPool chooses, which lets requests queue at
    // the backend servers.
    if (this->view.policy.retry_window) {
      return;
    }
    Require(all < server->slots, "more in flight than slots");
    const std::uint32_t max_long_attempts =
        server->slots * this->view.policy.long_slots_percent / 100;
    Require(work_class == WorkClass::kShort ||
                long_attempts < std::max(max_long_attempts, 1U),
            "long work beyond its share");
  }

  void On(const CancelAttempt& cancel) {
    Request& request = this->Find(cancel.request);
    request.may_have_run = true;
    this->Drop({cancel.request, cancel.attempt, {}, {}});
  }

  void On(const RelayAnswer& relay) {
    Request& request = this->Find(relay.request);
    Require(this->answer_head && this->answer_head->request == relay.request &&
                this->answer_head->attempt == relay.attempt,
            "relayed without an answer");
    int own = 0;
    for (LiveAttempt& each : this->live) {
      own += each.request == relay.request ? 1 : 0;
      each.relayed = each.relayed || each.request == relay.request;
    }
    Require(own == 1, "relayed while another attempt is live");
    request.relayed = true;
  }

  void On(const RefuseRequest& refuse) {
    Request& request = this->Find(refuse.request);
    Require(!this->HasLive(refuse.request), "refused while an attempt is live");
    const bool says_not_run =
        AnswerFor(refuse.kind).outcome == Outcome::kNotRun;
    Require(!says_not_run || !request.may_have_run, "a false not-run");
    this->requests.erase(refuse.request);
  }

  ServiceView view;
  std::set<BackendId> reported_leaving;
  std::set<BackendId> confirmed;
  std::map<RequestId, Request> requests;
  std::vector<LiveAttempt> live;
  std::optional<LiveAttempt> answer_head;
  std::optional<RequestId> left;
  std::vector<TimePoint> arrivals;
  // When extra attempts that are charged to the windowed budget started.
  std::vector<TimePoint> charged;
  std::uint32_t request_count = 0;
  std::uint32_t refusals = 0;
  std::uint32_t retries = 0;
  TimePoint now{};
};

}  // namespace acacia

#endif  // TEST_FUZZ_DISPATCHER_ORACLE_H_
