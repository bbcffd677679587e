// Tests the limit of one client account over a simulated fleet whose messages
// are delayed and lost, with cuts, restarts and an account that is far over its
// limit. Guards against entries that together admit more than the account's
// bound in any window, or much less than its limit.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <map>
#include <numeric>
#include <sstream>
#include <string>
#include <tuple>

#include "src/fleet_quota.h"
#include "src/random_source.h"

namespace acacia {
namespace {

constexpr int kEntries = 103;
constexpr int kCutEntries = 30;
constexpr int kTickMs = 40;
constexpr double kLoss = 0.03;
constexpr int kWindowMs = 5000;
// The limit is this many times the usual rate.
constexpr double kLimitRatio = 1.6;
constexpr double kMinAdmittedShare = 0.85;
// While 30 of 103 entries are cut off, what they may use is left out.
constexpr double kMinAdmittedShareCut =
    0.85 * (kEntries - kCutEntries) / kEntries;
const AccountId kAccount("acme");

// The requirement on the admissions in any window of kWindowMs.
double BoundOf(const AccountQuota& quota) {
  return (quota.requests_per_second * 5 + quota.burst) * 1.1 + 20;
}

class Fleet {
 public:
  Fleet(const AccountQuota& quota, std::uint64_t seed)
      : quota(quota), random(seed) {
    for (int i = 0; i < kEntries; ++i) {
      InstanceId name("entry-" + std::to_string(i));
      this->members[name].instance = name.Value();
      this->index[name] = i;
      this->names.push_back(std::move(name));
    }
    this->groups.assign(kEntries, 0);
    this->nodes.resize(kEntries);
    for (int i = 0; i < kEntries; ++i) {
      this->Restart(i);
    }
    this->MoveDemand();
  }

  void Restart(int i) {
    Node& node = this->nodes[i];
    node.fleet.reset();
    node.limiter = std::make_unique<QuotaLimiter>(
        std::make_unique<SeededRandom>(this->random.Next()));
    node.fleet = std::make_unique<FleetQuota>(
        *node.limiter, this->names[i],
        static_cast<std::uint32_t>(this->random.Next()));
    node.fleet->SetMembers(this->members, kEntries);
    node.phase = static_cast<int>(this->random.Below(kTickMs));
    node.is_alive = true;
    this->SetQuota(i);
  }
  void RestartAll() {
    for (int i = 0; i < kEntries; ++i) {
      this->Restart(i);
    }
  }
  void Kill(int i) { this->nodes[i].is_alive = false; }
  void ChangeQuota(const AccountQuota& next) {
    this->quota = next;
    for (int i = 0; i < kEntries; ++i) {
      this->SetQuota(i);
    }
  }
  // Cuts entries off from the others; as one group, or from each other too.
  void Cut(bool is_group) {
    for (int i = 0; i < kCutEntries; ++i) {
      this->groups[(i * 7) % kEntries] = is_group ? 1 : i + 1;
    }
  }
  void Heal() { this->groups.assign(kEntries, 0); }

  int KeeperIndex() {
    for (Node& node : this->nodes) {
      if (node.is_alive) {
        return this->index.at(node.fleet->KeeperOf(HashOf(kAccount)));
      }
    }
    return 0;
  }

  // Requests per second, over all entries.
  void SetDemand(double per_second) { this->demand = per_second; }

  void Run(int ms) {
    for (const int end = this->now_ms + ms; this->now_ms < end;) {
      this->Step();
    }
  }

  // The most admissions in any window that ends in [from, to).
  int MaxWindow(int from, int to) const {
    int sum = 0;
    int most = 0;
    for (int at = std::max(from - kWindowMs, 0); at < to; ++at) {
      sum += this->admitted[at];
      sum -= at - kWindowMs >= std::max(from - kWindowMs, 0)
                 ? this->admitted[at - kWindowMs]
                 : 0;
      most = at >= from ? std::max(most, sum) : most;
    }
    return most;
  }
  int Admitted(int from, int to) const { return Sum(this->admitted, from, to); }
  int Refused(int from, int to) const { return Sum(this->refused, from, to); }
  int Now() const { return this->now_ms; }
  std::size_t MessageCount() const { return this->messages_sent; }

 private:
  struct Node {
    std::unique_ptr<QuotaLimiter> limiter;
    std::unique_ptr<FleetQuota> fleet;
    int phase = 0;
    bool is_alive = true;
  };
  struct Packet {
    int from = 0;
    QuotaMessage message;
  };

  static int Sum(const std::vector<int>& counts, int from, int to) {
    return std::accumulate(counts.begin() + from, counts.begin() + to, 0);
  }
  TimePoint Now(int ms) const {
    return TimePoint(std::chrono::seconds(1000) +
                     std::chrono::milliseconds(ms));
  }
  void SetQuota(int i) {
    AccountTable table;
    table.Add({kAccount, std::nullopt, this->quota.requests_per_second,
               this->quota.burst},
              {"key"});
    this->nodes[i].limiter->SetAccounts(&table);
  }
  // A few entries get most requests; which ones changes.
  void MoveDemand() {
    this->weights.clear();
    double total = 0;
    std::vector<int> order(kEntries);
    std::iota(order.begin(), order.end(), 0);
    for (int i = kEntries - 1; i > 0; --i) {
      std::swap(order[i], order[this->random.Below(i + 1)]);
    }
    this->weights.assign(kEntries, 0);
    for (int i = 0; i < kEntries; ++i) {
      this->weights[order[i]] = 1.0 / (1 + i);
      total += this->weights[order[i]];
    }
    for (double& each : this->weights) {
      each /= total;
    }
  }
  bool AreLinked(int a, int b) const {
    return this->groups[a] == this->groups[b];
  }
  int DrawEntry() {
    double at = this->random.Fraction();
    for (int i = 0; i < kEntries; ++i) {
      at -= this->weights[i];
      if (at < 0) {
        return i;
      }
    }
    return kEntries - 1;
  }
  void Request() {
    int entry = this->DrawEntry();
    while (!this->nodes[entry].is_alive) {
      entry = (entry + 1) % kEntries;
    }
    const bool is_refused =
        this->nodes[entry]
            .limiter->Admit(kAccount, this->Now(this->now_ms))
            .has_value();
    (is_refused ? this->refused : this->admitted).back() += 1;
  }
  void Deliver(const Packet& packet) {
    const int to = this->index.at(packet.message.to);
    if (!this->nodes[to].is_alive || !this->AreLinked(packet.from, to)) {
      return;
    }
    FleetQuota& fleet = *this->nodes[to].fleet;
    const TimePoint now = this->Now(this->now_ms);
    if (const auto* report =
            std::get_if<schema::QuotaReportT>(&packet.message.payload)) {
      fleet.OnReport(*report, now);
    } else {
      fleet.OnReply(std::get<schema::QuotaReplyT>(packet.message.payload), now);
    }
  }
  void Step() {
    this->admitted.push_back(0);
    this->refused.push_back(0);
    if (this->now_ms % 3000 == 2999) {
      this->MoveDemand();
    }
    for (this->next_arrival -= this->demand / 1000; this->next_arrival < 0;
         this->next_arrival -= std::log(1 - this->random.Fraction())) {
      this->Request();
    }
    const auto due = this->packets.equal_range(this->now_ms);
    for (auto each = due.first; each != due.second; ++each) {
      this->Deliver(each->second);
    }
    this->packets.erase(due.first, due.second);
    for (int i = 0; i < kEntries; ++i) {
      Node& node = this->nodes[i];
      if (!node.is_alive || this->now_ms % kTickMs != node.phase) {
        continue;
      }
      for (QuotaMessage& each : node.fleet->OnTick(this->Now(this->now_ms))) {
        ++this->messages_sent;
        if (this->random.Fraction() >= kLoss) {
          const int delay = 1 + static_cast<int>(this->random.Below(5));
          this->packets.emplace(this->now_ms + delay,
                                Packet{i, std::move(each)});
        }
      }
    }
    ++this->now_ms;
  }

  AccountQuota quota;
  SeededRandom random;
  std::map<InstanceId, schema::MemberUpdateT> members;
  std::map<InstanceId, int> index;
  std::vector<InstanceId> names;
  std::vector<Node> nodes;
  // Entries of the same group reach each other.
  std::vector<int> groups;
  std::vector<double> weights;
  std::multimap<int, Packet> packets;
  std::vector<int> admitted;
  std::vector<int> refused;
  double demand = 0;
  double next_arrival = 1;
  int now_ms = 0;
  std::size_t messages_sent = 0;
};

struct Case {
  AccountQuota quota;
  double heat;
  std::uint64_t seed;
};

// Seeds per case; more are run by hand.
int SeedCount() {
  const char* text = std::getenv("ACACIA_QUOTA_SEEDS");
  return text == nullptr ? 1 : std::max(std::atoi(text), 1);
}

// Prints a measured value if ACACIA_QUOTA_SEEDS is set.
void Report(const std::string& text) {
  if (std::getenv("ACACIA_QUOTA_SEEDS") != nullptr) {
    std::cerr << text << "\n";
  }
}

// A limit with a burst of the same size, and each seed.
Case DrawCase(int limit, int heat) {
  const auto seed = GENERATE(range(1, 1 + SeedCount()));
  return {{static_cast<double>(limit), static_cast<double>(limit)},
          static_cast<double>(heat),
          static_cast<std::uint64_t>(seed)};
}

// A limit and the multiple of the usual demand.
template <int limit, int heat>
struct Load {
  static constexpr int kLimit = limit;
  static constexpr int kHeat = heat;
};
using Loads = std::tuple<Load<270, 3>,
                         Load<270, 9>,
                         Load<20, 3>,
                         Load<20, 9>,
                         Load<5, 3>,
                         Load<5, 9>>;

double UsualRate(const AccountQuota& quota) {
  return quota.requests_per_second / kLimitRatio;
}

// The bound holds in every window that ends since `from`.
void CheckBound(const Fleet& fleet,
                const Case& c,
                int from,
                const std::string& what) {
  const int most = fleet.MaxWindow(from, fleet.Now());
  INFO(what << ": limit " << c.quota.requests_per_second << " heat " << c.heat
            << " seed " << c.seed);
  std::ostringstream text;
  text << what << ": limit " << c.quota.requests_per_second << " heat "
       << c.heat << " most in a window " << most << " of " << BoundOf(c.quota);
  Report(text.str());
  CHECK(most <= BoundOf(c.quota));
}

// At least kMinAdmittedShare of the limit was admitted.
void CheckAdmitted(const Fleet& fleet,
                   const Case& c,
                   int from,
                   int to,
                   const std::string& what) {
  const double share = fleet.Admitted(from, to) * 1000.0 / (to - from) /
                       c.quota.requests_per_second;
  std::ostringstream text;
  text << what << ": limit " << c.quota.requests_per_second << " heat "
       << c.heat << " admitted share " << share;
  Report(text.str());
  INFO(what << ": limit " << c.quota.requests_per_second << " heat " << c.heat
            << " seed " << c.seed << " admitted share " << share);
  CHECK(share >= kMinAdmittedShare);
}

// Each limit and each multiple of the usual demand is a test case of its own,
// so that none takes long under a sanitizer.
TEMPLATE_TEST_CASE_SIG("an account below its limit is not refused",
                       "",
                       ((int limit), limit),
                       270,
                       20,
                       5) {
  const Case c = DrawCase(limit, 1);
  const AccountQuota quota = c.quota;
  const std::uint64_t seed = c.seed;
  Fleet fleet(quota, seed);
  // The entries find each other, and the bucket fills.
  fleet.Run(10000);
  fleet.SetDemand(UsualRate(quota));
  fleet.Run(60000);
  CAPTURE(quota.requests_per_second, seed);
  CHECK(fleet.Refused(0, fleet.Now()) == 0);
}

TEMPLATE_LIST_TEST_CASE("a hot account is held to its limit over the fleet",
                        "",
                        Loads) {
  const Case c = DrawCase(TestType::kLimit, TestType::kHeat);
  Fleet fleet(c.quota, c.seed);
  fleet.Run(5000);
  fleet.SetDemand(UsualRate(c.quota));
  fleet.Run(5000);
  fleet.SetDemand(UsualRate(c.quota) * c.heat);
  fleet.Run(20000);
  CheckBound(fleet, c, 0, "hot");
  CheckAdmitted(fleet, c, 15000, 30000, "hot");
  fleet.SetDemand(UsualRate(c.quota));
  // The bucket fills again at the difference between limit and usual rate.
  fleet.Run(25000);
  CheckBound(fleet, c, 0, "hot and back");
  INFO("limit " << c.quota.requests_per_second << " seed " << c.seed);
  CHECK(fleet.Refused(45000, 55000) == 0);
}

TEMPLATE_TEST_CASE_SIG(
    "a hot account is held to its limit while entries are cut off",
    "",
    ((int limit, int heat, bool is_group, bool is_hot_before),
     limit,
     heat,
     is_group,
     is_hot_before),
    (270, 3, true, true),
    (270, 3, true, false),
    (270, 3, false, true),
    (270, 3, false, false),
    (270, 9, true, true),
    (270, 9, true, false),
    (270, 9, false, true),
    (270, 9, false, false),
    (20, 3, true, true),
    (20, 3, true, false),
    (20, 3, false, true),
    (20, 3, false, false),
    (20, 9, true, true),
    (20, 9, true, false),
    (20, 9, false, true),
    (20, 9, false, false),
    (5, 3, true, true),
    (5, 3, true, false),
    (5, 3, false, true),
    (5, 3, false, false),
    (5, 9, true, true),
    (5, 9, true, false),
    (5, 9, false, true),
    (5, 9, false, false)) {
  // `is_hot_before`: the account becomes hot before the cut, not during it.
  const Case c = DrawCase(limit, heat);
  CAPTURE(is_group, is_hot_before);
  Fleet fleet(c.quota, c.seed);
  fleet.Run(5000);
  fleet.SetDemand(UsualRate(c.quota) * (is_hot_before ? c.heat : 1.0));
  fleet.Run(6000);
  fleet.Cut(is_group);
  fleet.Run(3000);
  fleet.SetDemand(UsualRate(c.quota) * c.heat);
  fleet.Run(12000);
  const double share =
      fleet.Admitted(21000, 26000) / 5.0 / c.quota.requests_per_second;
  fleet.Heal();
  fleet.Run(10000);
  CheckBound(fleet, c, 0, "cut");
  CheckAdmitted(fleet, c, 30000, 36000, "after the cut");
  // The part that is not cut off still serves the account.
  INFO("admitted share at the end of the cut " << share);
  CHECK(share >= kMinAdmittedShareCut);
}

TEMPLATE_LIST_TEST_CASE(
    "a hot account is held to its limit when its keeper ends",
    "",
    Loads) {
  const Case c = DrawCase(TestType::kLimit, TestType::kHeat);
  Fleet fleet(c.quota, c.seed);
  fleet.Run(10000);
  fleet.SetDemand(UsualRate(c.quota) * c.heat);
  fleet.Run(10000);
  const int keeper = fleet.KeeperIndex();
  fleet.Kill(keeper);
  fleet.Run(15000);
  CheckBound(fleet, c, 0, "keeper ended");
  CheckAdmitted(fleet, c, 25000, 35000, "keeper ended");
  fleet.Restart(keeper);
  fleet.Run(15000);
  CheckBound(fleet, c, 0, "keeper back");
  CheckAdmitted(fleet, c, 40000, 50000, "keeper back");
}

TEMPLATE_LIST_TEST_CASE(
    "a hot account is held to its limit when entries restart",
    "",
    Loads) {
  const Case c = DrawCase(TestType::kLimit, TestType::kHeat);
  Fleet fleet(c.quota, c.seed);
  fleet.Run(10000);
  fleet.SetDemand(UsualRate(c.quota) * c.heat);
  fleet.Run(10000);
  for (int i = 0; i < 10; ++i) {
    fleet.Restart(i * 10);
    fleet.Run(500);
  }
  CheckBound(fleet, c, 0, "entries restarted");
  fleet.Run(5000);
  fleet.RestartAll();
  fleet.Run(15000);
  CheckBound(fleet, c, 0, "all restarted");
  CheckAdmitted(fleet, c, 35000, 45000, "all restarted");
}

TEMPLATE_LIST_TEST_CASE(
    "a lower limit binds one window after it came into force",
    "",
    Loads) {
  Case c = DrawCase(TestType::kLimit, TestType::kHeat);
  Fleet fleet(c.quota, c.seed);
  fleet.Run(10000);
  fleet.SetDemand(UsualRate(c.quota) * c.heat);
  fleet.Run(10000);
  c.quota = {c.quota.requests_per_second / 2, c.quota.burst / 2};
  fleet.ChangeQuota(c.quota);
  fleet.Run(15000);
  CheckBound(fleet, c, 20000 + kWindowMs, "lower limit");
  CheckAdmitted(fleet, c, 25000, 35000, "lower limit");
}

}  // namespace
}  // namespace acacia
