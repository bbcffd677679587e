// Plays load against the dispatchers of several entries without a network, in
// simulated time. Backend servers have slots and a first-in-first-out queue.
// Entries share their evidence every 40 ms.
#ifndef TEST_LOAD_MODEL_H_
#define TEST_LOAD_MODEL_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/dispatcher.h"
#include "src/fleet_pool.h"

namespace acacia {

// A service whose backend servers are all in the entries' failure domain.
inline ServiceView LoadView(int backends,
                            std::uint32_t slots,
                            const RetryWindow& window) {
  ServiceView view;
  view.policy.retry_window = window;
  for (int i = 0; i < backends; ++i) {
    BackendServer server;
    server.id = BackendId("b" + std::to_string(i));
    server.failure_domain = FailureDomain("a");
    server.slots = slots;
    view.backend_servers.push_back(server);
  }
  return view;
}

// What a caller got.
struct CallerResult {
  Work work;
  TimePoint arrived;
  TimePoint ended;
  bool served = false;
  std::optional<ErrorKind> error{};
  std::optional<Duration> retry_after{};
  // Answers and resets by backend servers that ran the request.
  int runs = 0;
  std::set<BackendId> backends{};
  int attempts = 0;
};

class LoadModel {
 public:
  enum class Behaviour { kServe, kRefuse, kReset };

  LoadModel(int entries, const ServiceView& view, std::uint32_t queue_length)
      : queue_length(queue_length) {
    for (const BackendServer& server : view.backend_servers) {
      this->servers[server.id].slots = server.slots;
    }
    for (int i = 0; i < entries; ++i) {
      this->entries.push_back(std::make_unique<Dispatcher>(
          ServiceName("s"), InstanceId("e" + std::to_string(i)),
          std::make_unique<SeededRandom>(i + 1), view, this->now,
          [](const ServiceName& service, const InstanceId&, RandomSource& r) {
            return std::make_unique<FleetPool>(service, FailureDomain("a"), r);
          }));
    }
    this->After(kSharePeriod, [this] { this->Share(); });
  }

  void After(Duration delay, std::function<void()> event) {
    this->events[this->now + delay].push_back(std::move(event));
  }

  // Sends requests at a steady rate, to the entries in turn.
  void Arrive(double per_second,
              Duration for_time,
              Duration deadline,
              const std::function<Work()>& make) {
    const std::chrono::duration<double> gap(1 / per_second);
    for (std::chrono::duration<double> at(0); at < for_time; at += gap) {
      this->After(std::chrono::duration_cast<Duration>(at), [=, this] {
        Work work = make();
        // A deadline set by `make` counts from the arrival.
        work.deadline = this->now + (work.deadline == TimePoint{}
                                         ? deadline
                                         : work.deadline - TimePoint{});
        this->Submit(work);
      });
    }
  }

  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      const auto node = this->events.extract(this->events.begin());
      this->now = std::max(this->now, node.key());
      for (const auto& event : node.mapped()) {
        event();
      }
    }
    this->now = end;
  }

  std::vector<CallerResult> Results() const {
    std::vector<CallerResult> results;
    for (const auto& [id, result] : this->results) {
      results.push_back(result);
    }
    return results;
  }
  // Share of the requests that `select` chooses that were served.
  double Served(const std::function<bool(const CallerResult&)>& select =
                    [](const CallerResult&) { return true; }) const {
    double all = 0;
    double served = 0;
    for (const auto& [id, result] : this->results) {
      all += select(result) ? 1 : 0;
      served += select(result) && result.served ? 1 : 0;
    }
    return served / std::max(all, 1.0);
  }

  std::function<Behaviour(const BackendId&)> behaviour = [](const BackendId&) {
    return Behaviour::kServe;
  };
  Duration work_time = std::chrono::milliseconds(270);
  // Where requests differ; replaces `work_time`.
  std::function<Duration(const Work&)> work_time_of;
  TimePoint now{std::chrono::seconds(1000)};
  // When attempts after the first of a request were sent.
  std::vector<TimePoint> extra_attempts;
  std::vector<TimePoint> arrivals;

 private:
  static constexpr Duration kSharePeriod = std::chrono::milliseconds(40);
  static constexpr Duration kLinkTime = std::chrono::milliseconds(2);

  struct Attempt {
    std::size_t entry = 0;
    StartAttempt start;
  };
  struct Server {
    std::uint32_t slots = 1;
    std::uint32_t running = 0;
    std::deque<Attempt> waiting;
  };

  void Submit(const Work& work) {
    const std::size_t entry = this->next_entry++ % this->entries.size();
    Work submitted = work;
    submitted.request = this->next_request = this->next_request.Next();
    this->results[submitted.request] = {submitted, this->now, this->now};
    this->arrivals.push_back(this->now);
    this->Take(entry, this->entries[entry]->OnRequest(submitted, this->now));
  }

  void Take(std::size_t entry, const DispatchActions& actions) {
    for (const DispatchAction& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        CallerResult& result = this->results[start->request];
        result.backends.insert(start->backend);
        if (++result.attempts > 1) {
          this->extra_attempts.push_back(this->now);
        }
        this->After(kLinkTime, [this, entry, start = *start] {
          this->Reach({entry, start});
        });
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        for (auto& [id, server] : this->servers) {
          std::erase_if(server.waiting, [cancel](const Attempt& each) {
            return each.start.request == cancel->request &&
                   each.start.attempt == cancel->attempt;
          });
        }
      } else if (const auto* refuse = std::get_if<RefuseRequest>(&action)) {
        CallerResult& result = this->results[refuse->request];
        result.error = refuse->kind;
        result.retry_after = refuse->retry_after;
        result.ended = this->now;
      } else {
        CallerResult& result =
            this->results[std::get<RelayAnswer>(action).request];
        result.served = true;
        result.ended = this->now;
      }
    }
    this->SetTimer(entry);
  }

  void SetTimer(std::size_t entry) {
    const auto next = this->entries[entry]->NextTimer();
    if (!next) {
      return;
    }
    const TimePoint at = std::max(*next, this->now);
    if (this->timers.emplace(at, entry).second) {
      this->events[at].push_back([this, at, entry] {
        this->timers.erase({at, entry});
        const auto due = this->entries[entry]->NextTimer();
        if (due && *due <= this->now) {
          this->Take(entry, this->entries[entry]->OnTimer(this->now));
        }
      });
    }
  }

  void Reach(const Attempt& attempt) {
    Server& server = this->servers.at(attempt.start.backend);
    const Behaviour behaviour = this->behaviour(attempt.start.backend);
    if (behaviour == Behaviour::kReset) {
      ++this->results[attempt.start.request].runs;
      return this->End(attempt, AttemptResult::kBroken);
    }
    if (behaviour == Behaviour::kRefuse ||
        (server.running >= server.slots &&
         server.waiting.size() >= this->queue_length)) {
      return this->End(attempt, AttemptResult::kRefused);
    }
    server.waiting.push_back(attempt);
    this->RunNext(server);
  }

  void RunNext(Server& server) {
    while (server.running < server.slots && !server.waiting.empty()) {
      const Attempt attempt = server.waiting.front();
      server.waiting.pop_front();
      ++server.running;
      ++this->results[attempt.start.request].runs;
      const Work& work = this->results[attempt.start.request].work;
      this->After(
          this->work_time_of ? this->work_time_of(work) : this->work_time,
          [this, &server, attempt] {
            --server.running;
            this->RunNext(server);
            this->Take(attempt.entry,
                       this->entries[attempt.entry]->OnAnswerHead(
                           attempt.start.request, attempt.start.attempt, 200,
                           true, this->now));
            this->End(attempt, AttemptResult::kSuccess);
          });
    }
  }

  void End(const Attempt& attempt, AttemptResult result) {
    const Server& server = this->servers.at(attempt.start.backend);
    AttemptReport report{
        attempt.start.request, attempt.start.attempt, result, true, false, {}};
    if (result != AttemptResult::kBroken) {
      report.reported_load = ReportedLoad{
          server.running, static_cast<std::uint32_t>(server.waiting.size()),
          server.slots};
    }
    this->After(kLinkTime, [this, attempt, report] {
      this->Take(attempt.entry,
                 this->entries[attempt.entry]->OnAttemptEnd(report, this->now));
    });
  }

  void Share() {
    for (std::size_t from = 0; from < this->entries.size(); ++from) {
      const auto evidence = this->entries[from]->TakeEvidence(this->now);
      for (std::size_t to = 0; !evidence.empty() && to < this->entries.size();
           ++to) {
        if (to != from) {
          this->Take(to, this->entries[to]->OnFleetEvidence(
                             "e" + std::to_string(from), evidence, this->now));
        }
      }
    }
    this->After(kSharePeriod, [this] { this->Share(); });
  }

  std::uint32_t queue_length;
  std::vector<std::unique_ptr<Dispatcher>> entries;
  std::map<BackendId, Server> servers;
  std::map<TimePoint, std::vector<std::function<void()>>> events;
  std::set<std::pair<TimePoint, std::size_t>> timers;
  std::map<RequestId, CallerResult> results;
  std::size_t next_entry = 0;
  RequestId next_request;
};

}  // namespace acacia

#endif  // TEST_LOAD_MODEL_H_
