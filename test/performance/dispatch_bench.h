// A discrete-event simulation for measuring dispatch decisions: entries (real
// dispatchers or baselines) in front of fake backend servers that have slots
// and refuse when all are in use. Virtual time and fixed seeds give the same
// figures in each run.
#ifndef TEST_PERFORMANCE_DISPATCH_BENCH_H_
#define TEST_PERFORMANCE_DISPATCH_BENCH_H_

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "test/performance/bench_entries.h"

namespace acacia::bench {

inline constexpr Duration kOneWay = std::chrono::microseconds(500);

inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}
inline Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

// How a backend server answers one attempt, and after which time.
struct Reply {
  AttemptResult result = AttemptResult::kSuccess;
  Duration after{};
};
struct Arrival {
  WorkClass work_class = WorkClass::kShort;
  std::uint32_t entry = 0;
  std::uint32_t backend = 0;
  TimePoint now;
};
using Behaviour = std::function<Reply(const Arrival&, RandomSource&)>;

// The result of one request as its caller saw it.
struct CompletedRequest {
  Work work;
  std::uint32_t entry = 0;
  TimePoint arrived;
  Duration latency{};
  bool answered = false;
  ErrorKind kind = ErrorKind::kInternal;
  // Free slots of the whole service when the request ended.
  std::uint32_t free_slots = 0;
};

class Bench {
 public:
  Bench(std::vector<std::unique_ptr<Entry>> entries,
        const ServiceView& view,
        Behaviour behaviour)
      : entries(std::move(entries)), behaviour(std::move(behaviour)) {
    for (const BackendServer& server : view.backend_servers) {
      this->index[server.id] =
          static_cast<std::uint32_t>(this->used_slots.size());
      this->used_slots.push_back(0);
      this->slots.push_back(server.slots);
    }
    this->received_attempts.resize(this->used_slots.size());
  }

  void At(TimePoint at, std::function<void()> run) {
    this->events.push({at, this->sequence++, std::move(run)});
  }
  // Poisson arrivals at `rate(now)` requests per second, each at a random
  // entry.
  void OfferLoad(const std::function<double(TimePoint)>& rate,
                 const std::function<Work(RandomSource&)>& make) {
    const double wait = -std::log(1 - this->random.Fraction()) /
                        std::max(rate(this->now), 1e-3);
    this->At(this->now + FromSeconds(wait), [this, rate, make] {
      Work work = make(this->random);
      this->Request(
          static_cast<std::uint32_t>(this->random.Below(this->entries.size())),
          work);
      this->OfferLoad(rate, make);
    });
  }
  void Request(std::uint32_t entry, Work work) {
    work.request = this->next_request = this->next_request.Next();
    work.deadline = this->now + (work.deadline - TimePoint{});
    this->open_requests[work.request] = {work, entry, this->now};
    this->Perform(entry, this->entries[entry]->OnRequest(work, this->now));
  }
  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().at <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
    this->now = end;
  }

  TimePoint now{seconds(1000)};
  SeededRandom random{42};
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<CompletedRequest> completed;
  // Attempts that reached each backend server: (time, index of the entry).
  std::vector<std::vector<std::pair<TimePoint, std::uint32_t>>>
      received_attempts;
  std::uint64_t attempts = 0;
  std::uint64_t refused_attempts = 0;

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
  };
  struct Running {
    std::uint32_t backend = 0;
    bool holds_slot = false;
  };
  using Key = std::pair<RequestId, AttemptId>;

  void Perform(std::uint32_t entry, const DispatchActions& actions) {
    for (const DispatchAction& action : actions) {
      std::visit([&](const auto& each) { this->On(entry, each); }, action);
    }
    const std::optional<TimePoint> timer = this->entries[entry]->NextTimer();
    auto& armed = this->armed[entry];
    if (timer && (armed <= this->now || *timer < armed)) {
      armed = *timer;
      this->At(std::max(*timer, this->now), [this, entry, at = *timer] {
        if (this->armed[entry] == at) {
          this->armed[entry] = TimePoint{};
          this->Perform(entry, this->entries[entry]->OnTimer(this->now));
        }
      });
    }
  }
  void On(std::uint32_t entry, const StartAttempt& start) {
    const Key key{start.request, start.attempt};
    this->running[key] = {this->index.at(start.backend)};
    this->At(this->now + kOneWay,
             [this, entry, key] { this->Arrive(entry, key); });
  }
  void Arrive(std::uint32_t entry, const Key& key) {
    const auto found = this->running.find(key);
    if (found == this->running.end()) {
      return;
    }
    const std::uint32_t backend = found->second.backend;
    ++this->attempts;
    this->received_attempts[backend].emplace_back(this->now, entry);
    Reply reply{AttemptResult::kRefused, {}};
    if (this->used_slots[backend] < this->slots[backend]) {
      const Arrival arrival{this->open_requests.at(key.first).work.work_class,
                            entry, backend, this->now};
      reply = this->behaviour(arrival, this->random);
      found->second.holds_slot = true;
      ++this->used_slots[backend];
    } else {
      ++this->refused_attempts;
    }
    this->At(this->now + reply.after + kOneWay, [this, entry, key, reply] {
      this->Finish(entry, key, reply.result);
    });
  }
  void ReleaseSlot(const Running& attempt) {
    this->used_slots[attempt.backend] -= attempt.holds_slot ? 1 : 0;
  }
  void Finish(std::uint32_t entry, const Key& key, AttemptResult result) {
    const auto found = this->running.find(key);
    if (found == this->running.end()) {
      return;
    }
    this->ReleaseSlot(found->second);
    found->second.holds_slot = false;
    const bool complete = result == AttemptResult::kSuccess ||
                          result == AttemptResult::kServerError;
    if (complete) {
      const int status = result == AttemptResult::kSuccess ? 200 : 500;
      this->Perform(entry, this->entries[entry]->OnAnswerHead(
                               key.first, key.second, status, this->now));
      if (!this->running.contains(key)) {
        return;
      }
    }
    this->running.erase(key);
    this->Perform(entry, this->entries[entry]->OnAttemptEnd(
                             {key.first, key.second, result, true, false, {}},
                             this->now));
    if (complete) {
      this->End(key.first, result == AttemptResult::kSuccess, {});
    }
  }
  void On(std::uint32_t, const CancelAttempt& cancel) {
    const auto found = this->running.find({cancel.request, cancel.attempt});
    const Running attempt = found->second;
    this->running.erase(found);
    this->At(this->now + kOneWay,
             [this, attempt] { this->ReleaseSlot(attempt); });
  }
  void On(std::uint32_t, const RelayAnswer&) {}
  void On(std::uint32_t, const RefuseRequest& refuse) {
    this->End(refuse.request, false, refuse.kind);
  }
  void End(RequestId request, bool answered, ErrorKind kind) {
    const auto found = this->open_requests.find(request);
    CompletedRequest end = found->second;
    this->open_requests.erase(found);
    end.latency = this->now - end.arrived;
    end.answered = answered;
    end.kind = kind;
    for (std::size_t i = 0; i < this->slots.size(); ++i) {
      end.free_slots += this->slots[i] - this->used_slots[i];
    }
    this->completed.push_back(end);
  }

  Behaviour behaviour;
  std::map<BackendId, std::uint32_t> index;
  std::vector<std::uint32_t> used_slots;
  std::vector<std::uint32_t> slots;
  std::map<RequestId, CompletedRequest> open_requests;
  std::map<Key, Running> running;
  std::map<std::uint32_t, TimePoint> armed;
  std::priority_queue<Event> events;
  std::uint64_t sequence = 0;
  RequestId next_request;
};

}  // namespace acacia::bench

#endif  // TEST_PERFORMANCE_DISPATCH_BENCH_H_
