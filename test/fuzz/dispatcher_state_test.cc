// Runs random scripts of requests, answers, faults, views and timers against a
// dispatcher and checks it with the oracle. Also checks that the oracle detects
// deliberately faulty dispatchers.
#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>

#include "src/fleet_pool.h"
#include "test/fuzz/dispatcher_oracle.h"

namespace acacia {
namespace {

constexpr std::uint32_t kBackends = 6;
constexpr std::uint32_t kRetryBurst = 12;
// Default seed for RapidCheck; RC_PARAMS in the environment overrides it.
const int kSeedIsSet = setenv("RC_PARAMS", "seed=20261204", 0);
constexpr int kMaxTimerCalls = 20000;

enum class Operation {
  kRequest,
  kHead,
  kEnd,
  kStaleEnd,
  kCallerLeft,
  kView,
  kAdvance,
  kTimer,
};

struct Step {
  Operation operation;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};
using Script = std::vector<Step>;
// Modifies the dispatcher's actions before the oracle sees them, to inject
// faults; null for no change.
using ActionFilter = std::function<DispatchActions(DispatchActions)>;

BackendId NthBackend(std::uint32_t n) {
  return BackendId("10.0.0." + std::to_string(n) + ":80");
}

// Which chooser and retry budget the dispatcher under test has.
enum class Deployment { kAgents, kHostPlatform };

// Each bit of `bits` decides one thing about one backend server.
ServiceView MakeView(std::uint32_t bits,
                     Deployment deployment = Deployment::kAgents,
                     double hedge_percent = 0) {
  ServiceView view;
  view.policy.hedge_percent = hedge_percent;
  const bool is_host = deployment == Deployment::kHostPlatform;
  if (is_host) {
    view.policy.retry_window = RetryWindow{0.2, 4, std::chrono::seconds(10)};
    view.is_ordered = bits % 4 != 3;
  }
  view.policy.queue_length = 5;
  view.policy.floor_percent = 50;
  view.entries = {InstanceId("e1"), InstanceId("e2"), InstanceId("e3")};
  for (std::uint32_t i = 0; i < kBackends; ++i) {
    const std::uint32_t kind = (bits >> (i * 3)) & 7;
    if (kind == 7) {
      continue;
    }
    view.backend_servers.push_back({NthBackend(i), {}, 1 + i % 3});
    if (kind == 6 && is_host) {
      // The host platform has no ejections.
      view.cold.insert(NthBackend(i));
    } else if (kind == 6) {
      view.ejected.insert(NthBackend(i));
    } else if (kind == 5) {
      view.leaving.insert(NthBackend(i));
    } else if (kind == 4) {
      view.cold.insert(NthBackend(i));
    }
  }
  return view;
}

class Run {
 public:
  explicit Run(ActionFilter filter = nullptr,
               Deployment deployment = Deployment::kAgents,
               double hedge_percent = 0)
      : filter(std::move(filter)),
        deployment(deployment),
        hedge_percent(hedge_percent),
        dispatcher(ServiceName("s"),
                   InstanceId("e1"),
                   std::make_unique<SeededRandom>(1),
                   MakeView(0, deployment, hedge_percent),
                   TimePoint(std::chrono::seconds(1)),
                   MakeFactory(deployment),
                   nullptr,
                   [this](HedgeEvent event) {
                     this->hedges += event == HedgeEvent::kSent ? 1 : 0;
                   }) {
    this->oracle.OnView(MakeView(0, deployment, hedge_percent));
  }

  void Play(const Script& script) {
    for (const Step& step : script) {
      this->Take(step);
      const auto evidence = this->dispatcher.TakeEvidence(this->now);
      if (this->deployment == Deployment::kAgents) {
        this->oracle.CheckFloor(evidence);
      }
      this->oracle.CheckBudget(kRetryBurst);
    }
    this->Drain();
  }

  int Hedges() const { return this->hedges; }

 private:
  static ChooserFactory MakeFactory(Deployment deployment) {
    if (deployment == Deployment::kAgents) {
      return {};
    }
    return [](const ServiceName& service, const InstanceId&,
              RandomSource& random) {
      return std::make_unique<FleetPool>(service, FailureDomain(), random);
    };
  }

  void Take(const Step& step) {
    switch (step.operation) {
      case Operation::kRequest:
        return this->Request(step);
      case Operation::kHead:
        return this->WithLive(step.a, [&](const LiveAttempt& live) {
          this->Head(live, step.b % 4 == 0 ? 500 : 200);
        });
      case Operation::kEnd:
        return this->WithLive(step.a, [&](const LiveAttempt& live) {
          this->End(live, static_cast<AttemptResult>(step.b % 9),
                    step.b % 31 == 0, step.b % 5 != 0);
        });
      case Operation::kStaleEnd:
        return this->StaleEnd(step);
      case Operation::kCallerLeft:
        return this->CallerLeft(step.a);
      case Operation::kView:
        this->oracle.OnView(
            MakeView(step.a, this->deployment, this->hedge_percent));
        return this->Check(this->dispatcher.OnView(
            MakeView(step.a, this->deployment, this->hedge_percent),
            this->now));
      case Operation::kAdvance:
        return this->AdvanceTo(this->now +
                               std::chrono::milliseconds(step.a % 400));
      case Operation::kTimer:
        return this->AdvanceTo(
            this->dispatcher.NextTimer().value_or(this->now));
    }
  }

  void Request(const Step& step) {
    Work work;
    work.request = this->next_request = this->next_request.Next();
    work.work_class = step.a % 3 == 0 ? WorkClass::kLong : WorkClass::kShort;
    work.account = AccountId(std::to_string(step.b % 3));
    work.idempotent = step.a % 2 == 0;
    work.hedgeable = step.a % 5 == 0;
    work.deadline = this->now + std::chrono::milliseconds(step.b % 3000);
    if (this->deployment == Deployment::kHostPlatform) {
      work.max_attempts = step.b % 4;
      work.rank = step.a % 7 % 3;
      work.target_latency = std::chrono::milliseconds(step.a % 2000);
    }
    this->oracle.OnRequest(work, this->now);
    this->Check(this->dispatcher.OnRequest(work, this->now));
  }

  void Head(const LiveAttempt& live, int status) {
    if (live.relayed) {
      return;
    }
    this->oracle.OnHead(live);
    this->Check(this->dispatcher.OnAnswerHead(live.request, live.attempt,
                                              status, true, this->now));
  }

  void End(const LiveAttempt& live,
           AttemptResult result,
           bool leaving,
           bool replayable) {
    // The data path never reports a complete answer without a head, or a
    // refusal after one.
    const bool whole = result == AttemptResult::kSuccess ||
                       result == AttemptResult::kServerError;
    const bool not_run =
        result == AttemptResult::kNotSent || result == AttemptResult::kRefused;
    if ((whole && !live.relayed) || (not_run && live.relayed)) {
      result =
          live.relayed ? AttemptResult::kTruncated : AttemptResult::kRefused;
    }
    this->oracle.OnEnd(live, result, leaving);
    this->Check(this->dispatcher.OnAttemptEnd(
        {live.request, live.attempt, result, replayable, leaving, {}},
        this->now));
  }

  // A report may arrive after its attempt was cancelled and must be ignored.
  void StaleEnd(const Step& step) {
    this->Check(this->dispatcher.OnAttemptEnd({RequestId(step.a % 100),
                                               AttemptId(90),
                                               AttemptResult::kBroken,
                                               true,
                                               false,
                                               {}},
                                              this->now));
  }

  void CallerLeft(std::uint32_t nth) {
    const std::vector<RequestId> open = this->oracle.Open();
    if (open.empty()) {
      return;
    }
    const RequestId request = open[nth % open.size()];
    this->oracle.OnCallerLeft(request);
    this->Check(this->dispatcher.OnCallerLeft(request, this->now));
  }

  void AdvanceTo(TimePoint to) {
    while (this->dispatcher.NextTimer().value_or(TimePoint::max()) <= to) {
      this->now = std::max(this->now, *this->dispatcher.NextTimer());
      this->Check(this->dispatcher.OnTimer(this->now));
      this->oracle.CheckTimely(this->dispatcher.NextTimer());
      if (++this->timer_calls > kMaxTimerCalls) {
        throw std::logic_error("timers do not come to an end");
      }
    }
    this->now = std::max(this->now, to);
  }

  // Ends all attempts and requests; fails if a request cannot be ended.
  void Drain() {
    while (!this->oracle.Live().empty() || !this->oracle.Open().empty()) {
      if (!this->oracle.Live().empty()) {
        const LiveAttempt live = this->oracle.Live().front();
        if (live.relayed) {
          this->End(live, AttemptResult::kSuccess, false, true);
        } else {
          this->Head(live, 200);
        }
      } else if (this->dispatcher.NextTimer()) {
        this->AdvanceTo(*this->dispatcher.NextTimer());
      } else {
        throw std::logic_error("requests are left over");
      }
    }
  }

  void WithLive(std::uint32_t nth,
                const std::function<void(const LiveAttempt&)>& use) {
    const std::vector<LiveAttempt>& live = this->oracle.Live();
    if (!live.empty()) {
      const LiveAttempt chosen = live[nth % live.size()];
      use(chosen);
    }
  }

  void Check(DispatchActions actions) {
    if (this->filter) {
      actions = this->filter(std::move(actions));
    }
    this->oracle.Check(actions, this->dispatcher.InFlight(), this->now);
  }

  ActionFilter filter;
  Deployment deployment;
  double hedge_percent = 0;
  int hedges = 0;
  Dispatcher dispatcher;
  DispatcherOracle oracle;
  TimePoint now{std::chrono::seconds(1)};
  RequestId next_request;
  int timer_calls = 0;
};

Script MakeScript(std::uint64_t seed, int length) {
  constexpr Operation kMix[] = {
      Operation::kRequest, Operation::kRequest,    Operation::kRequest,
      Operation::kHead,    Operation::kHead,       Operation::kEnd,
      Operation::kEnd,     Operation::kEnd,        Operation::kStaleEnd,
      Operation::kAdvance, Operation::kCallerLeft, Operation::kTimer,
      Operation::kAdvance};
  SeededRandom random(seed);
  Script script;
  for (int i = 0; i < length; ++i) {
    const bool view = random.Below(40) == 0;
    const Operation operation =
        view ? Operation::kView : kMix[random.Below(std::size(kMix))];
    script.push_back({operation, static_cast<std::uint32_t>(random.Next()),
                      static_cast<std::uint32_t>(random.Next())});
  }
  return script;
}

std::string Describe(const Script& script) {
  std::string text;
  for (const Step& step : script) {
    text += "{" + std::to_string(static_cast<int>(step.operation)) + "," +
            std::to_string(step.a) + "," + std::to_string(step.b) + "}";
  }
  return text;
}

// Returns the invariant that was violated; empty if none was.
std::string Violation(const Script& script,
                      ActionFilter filter = nullptr,
                      Deployment deployment = Deployment::kAgents) {
  try {
    Run(std::move(filter), deployment).Play(script);
  } catch (const std::logic_error& violation) {
    return violation.what();
  }
  return "";
}

// Returns a filter that removes the first action of type T in each batch and
// calls `change`, which may add faulty actions in its place.
template <typename T>
ActionFilter Faulty(std::function<void(DispatchActions&, T&)> change) {
  return [change](DispatchActions actions) {
    for (std::size_t i = 0; i < actions.size(); ++i) {
      if (std::holds_alternative<T>(actions[i])) {
        T copy = std::get<T>(actions[i]);
        actions.erase(actions.begin() + static_cast<std::ptrdiff_t>(i));
        change(actions, copy);
        break;
      }
    }
    return actions;
  };
}

}  // namespace

TEST_CASE("Long random scripts keep every rule of the dispatcher") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const Script script = MakeScript(seed, 600);
    INFO("seed " << seed);
    CHECK(Violation(script) == "");
    CHECK(Violation(script, nullptr, Deployment::kHostPlatform) == "");
  }
}

// The scripts are long enough for the latencies to be measured.
TEST_CASE("Long random scripts with a hedge limit keep every rule") {
  int hedges = 0;
  for (std::uint64_t seed = 1; seed <= 80; ++seed) {
    INFO("seed " << seed);
    Run run(nullptr, Deployment::kAgents, 50);
    CHECK_NOTHROW(run.Play(MakeScript(seed, 12000)));
    hedges += run.Hedges();
  }
  CHECK(hedges >= 20);
}

TEST_CASE("Short scripts keep every rule and shrink when they do not") {
  REQUIRE(kSeedIsSet == 0);
  const auto step = rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 8),
                     rc::gen::arbitrary<std::uint32_t>(),
                     rc::gen::arbitrary<std::uint32_t>()),
      [](const std::tuple<int, std::uint32_t, std::uint32_t>& parts) {
        return Step{static_cast<Operation>(std::get<0>(parts)),
                    std::get<1>(parts), std::get<2>(parts)};
      });
  CHECK(rc::check("dispatcher", [&step] {
    const auto script = *rc::gen::container<Script>(step);
    const std::string violation = Violation(script);
    RC_LOG() << Describe(script);
    RC_ASSERT(violation == "");
    RC_ASSERT(Violation(script, nullptr, Deployment::kHostPlatform) == "");
  }));
}

TEST_CASE("The oracle catches a faulty dispatcher") {
  const std::map<std::string, ActionFilter> faults = {
      {"relays twice",
       Faulty<RelayAnswer>([](DispatchActions& actions, RelayAnswer& relay) {
         actions.emplace_back(relay);
         actions.emplace_back(relay);
       })},
      {"claims not-run", Faulty<RefuseRequest>([](DispatchActions& actions,
                                                  RefuseRequest& refuse) {
         refuse.kind = ErrorKind::kConnectFailed;
         actions.emplace_back(refuse);
       })},
      {"forgets a request",
       Faulty<RefuseRequest>([](DispatchActions&, RefuseRequest&) {})},
      {"retries what may have run",
       Faulty<RefuseRequest>(
           [](DispatchActions& actions, RefuseRequest& refuse) {
             actions.emplace_back(StartAttempt{refuse.request, AttemptId(2),
                                               NthBackend(0), true});
             actions.emplace_back(refuse);
           })},
      {"sends to one backend server whatever its state",
       Faulty<StartAttempt>([](DispatchActions& actions, StartAttempt& start) {
         start.backend = NthBackend(1);
         actions.emplace_back(start);
       })},
      {"leaves an attempt running",
       Faulty<CancelAttempt>([](DispatchActions&, CancelAttempt&) {})},
      {"does not relay",
       Faulty<RelayAnswer>([](DispatchActions&, RelayAnswer&) {})},
  };
  for (const auto& [name, fault] : faults) {
    INFO(name);
    CHECK(Violation(MakeScript(7, 600), fault) != "");
    // Where requests queue at backend servers, one that is in service may get
    // any request.
    if (name != "sends to one backend server whatever its state") {
      CHECK(Violation(MakeScript(7, 600), fault, Deployment::kHostPlatform) !=
            "");
    }
  }
}

}  // namespace acacia
