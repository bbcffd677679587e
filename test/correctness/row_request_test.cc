// Tests which entry is asked for a row, and when, also in a fleet whose
// messages are lost.
#include "src/row_request.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/configuration_exchange.h"

namespace acacia {
namespace {

using std::chrono::milliseconds;

constexpr RowVersion kOld{5};
constexpr RowVersion kNew{9};
constexpr milliseconds kTick{40};

struct RequesterFixture {
  // Polls until an entry is asked; nullopt if none is within `limit`.
  std::optional<InstanceId> Await(Duration limit, RowVersion held = kOld) {
    for (const TimePoint end = this->now + limit; this->now < end;
         this->now += kTick) {
      if (const auto holder = this->requester.Poll(held, kNew, this->now)) {
        return holder;
      }
    }
    return std::nullopt;
  }
  void AddHolder(const std::string& name,
                 HolderDistance distance = HolderDistance::kSameDomain) {
    this->requester.OnHolder(InstanceId(name), distance, kNew);
  }

  TimePoint now{};
  SeededRandom random{7};
  RowRequester requester{this->random};
};

// Guards the cost of small changes: an entry asked for a row that was being
// relayed to it.
TEST_CASE("a row is asked for after the time that a relay takes") {
  RequesterFixture f;
  f.AddHolder("a");
  CHECK_FALSE(f.Await(RowRequester::kMinWait));
  CHECK(f.Await(milliseconds(240)) == InstanceId("a"));
  // The row arrived.
  CHECK_FALSE(f.Await(milliseconds(2000), kNew));
}

// Guards CONFIG: a request was lost, or its reply, and the entry waited for it.
TEST_CASE("each holder is asked in turn, one at a time, and again") {
  RequesterFixture f;
  f.AddHolder("a");
  f.AddHolder("b");
  f.AddHolder("c");
  std::vector<InstanceId> asked;
  TimePoint last{};
  while (asked.size() < 6) {
    const auto holder = f.Await(milliseconds(2000));
    REQUIRE(holder);
    CHECK((asked.empty() || f.now - last >= RowRequester::kRetryPause));
    last = f.now;
    f.now += kTick;
    asked.push_back(*holder);
  }
  for (const std::size_t first : {0, 3}) {
    std::vector<InstanceId> round(asked.begin() + first,
                                  asked.begin() + first + 3);
    std::sort(round.begin(), round.end());
    CHECK(std::unique(round.begin(), round.end()) == round.end());
  }
}

// Guards CONFIG: entries that have nothing newer were asked.
TEST_CASE("only entries that hold a newer version are asked") {
  RequesterFixture f;
  CHECK_FALSE(f.Await(milliseconds(2000)));
  f.requester.OnHolder(InstanceId("old"), HolderDistance::kSameDomain, kOld);
  CHECK_FALSE(f.Await(milliseconds(2000)));
  f.AddHolder("new");
  CHECK(f.Await(milliseconds(100)) == InstanceId("new"));
}

// Guards the bytes between failure domains, which are paid for.
TEST_CASE("entries of the own failure domain are asked first") {
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    RequesterFixture f;
    f.random = SeededRandom(seed);
    f.AddHolder("far", HolderDistance::kOtherDomain);
    f.AddHolder("near");
    CHECK(f.Await(milliseconds(700)) == InstanceId("near"));
  }
  RequesterFixture f;
  f.AddHolder("far", HolderDistance::kOtherDomain);
  CHECK(f.Await(milliseconds(1080)) == InstanceId("far"));
}

TEST_CASE("the rows that an entry sends fit a part of its link") {
  RowReplyBudget budget;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  constexpr std::size_t kRow = 20 * 1024;
  std::size_t sent = 0;
  for (int i = 0; i < 34; ++i) {
    sent += budget.Take(kRow, now) ? 1 : 0;
  }
  CHECK(sent == 8);
  now += milliseconds(80);
  CHECK(budget.Take(kRow, now));
  CHECK_FALSE(budget.Take(kRow, now));
}

// Guards CONFIG: an entry handed on a row that was not the newest that it had
// read, or none while it had one.
TEST_CASE("an entry hands on the row in force with the newest version read") {
  SeededRandom random(1);
  ConfigurationExchange exchange("config", random);
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  CHECK_FALSE(exchange.ReplyTo(RowVersion(), RowVersion(4), now));
  exchange.OnRowRead(RowVersion(5), "first");
  // A restored store shows an older configuration with a newer version.
  exchange.OnRowRead(RowVersion(7), std::nullopt);
  const auto reply = exchange.ReplyTo(RowVersion(5), RowVersion(8), now);
  REQUIRE(reply);
  CHECK(reply->version == RowVersion(8));
  REQUIRE(exchange.IsReply(*reply));
  CHECK(reply->rows[0].value == "first");
  CHECK(reply->rows[0].version == RowVersion(7));
  CHECK_FALSE(exchange.ReplyTo(RowVersion(8), RowVersion(8), now));
  TableRows other = *reply;
  other.rows[0].key = "other";
  CHECK_FALSE(exchange.IsReply(other));
  other.rows.clear();
  CHECK_FALSE(exchange.IsReply(other));
}

// Entries of three failure domains whose messages take 1 ms, or 4 ms between
// failure domains. Datagrams are lost at a given rate, and replies, which
// are sent over TCP, at a sixth of it. Each entry announces what it
// holds every 0.5 s, and at once when that changes, to its failure domain; the
// first two entries of each, also to those of the others.
class LossyFleet {
 public:
  LossyFleet(std::size_t size, double loss, std::uint64_t seed)
      : loss(loss), random(seed) {
    for (std::size_t i = 0; i < size; ++i) {
      this->entries.push_back(std::make_unique<Entry>(this->random));
      this->entries.back()->next_announcement =
          milliseconds(this->random.Below(500));
    }
  }

  void Hold(std::size_t index) {
    this->entries[index]->held = kNew;
    this->entries[index]->next_announcement = this->now;
  }
  // Returns when all entries have the row; nullopt if some have not by `end`.
  std::optional<Duration> Run(Duration end) {
    for (; this->now < end; this->now += milliseconds(1)) {
      while (!this->messages.empty() && this->messages.begin()->first <= now) {
        const auto deliver = std::move(this->messages.begin()->second);
        this->messages.erase(this->messages.begin());
        deliver();
      }
      for (std::size_t i = 0; i < this->entries.size(); ++i) {
        this->Act(i);
      }
      if (std::all_of(this->entries.begin(), this->entries.end(),
                      [](const auto& each) { return each->held == kNew; })) {
        return this->now;
      }
    }
    return std::nullopt;
  }
  std::size_t MaxSent() const {
    std::size_t most = 0;
    for (const auto& each : this->entries) {
      most = std::max(most, each->sent);
    }
    return most;
  }

  std::size_t requests = 0;
  std::size_t distant_replies = 0;

 private:
  static constexpr std::size_t kDomains = 3;
  static constexpr std::size_t kRowBytes = 20 * 1024;

  struct Entry {
    explicit Entry(RandomSource& random) : requester(random) {}
    RowVersion held = kOld;
    RowVersion known = kOld;
    RowRequester requester;
    RowReplyBudget budget;
    Duration next_announcement{};
    std::size_t sent = 0;
  };

  bool AreNear(std::size_t a, std::size_t b) const {
    return a % kDomains == b % kDomains;
  }
  void Send(std::size_t from,
            std::size_t to,
            double loss_rate,
            std::function<void()> deliver) {
    if (this->random.Fraction() >= loss_rate) {
      this->messages.emplace(
          this->now + milliseconds(this->AreNear(from, to) ? 1 : 4),
          std::move(deliver));
    }
  }
  void Announce(std::size_t from) {
    const Entry& entry = *this->entries[from];
    const bool is_reader = from < 2 * kDomains;
    for (std::size_t to = 0; to < this->entries.size(); ++to) {
      const bool hears =
          this->AreNear(from, to) || (is_reader && to < 2 * kDomains);
      if (to == from || !hears) {
        continue;
      }
      this->Send(from, to, this->loss,
                 [this, from, to, held = entry.held, known = entry.known] {
                   Entry& receiver = *this->entries[to];
                   receiver.known = std::max(receiver.known, known);
                   if (held == kNew && receiver.held != kNew) {
                     receiver.requester.OnHolder(
                         InstanceId(std::to_string(from)),
                         this->AreNear(from, to) ? HolderDistance::kSameDomain
                                                 : HolderDistance::kOtherDomain,
                         held);
                   }
                 });
    }
  }
  void Act(std::size_t index) {
    Entry& entry = *this->entries[index];
    entry.known = std::max(entry.known, entry.held);
    if (entry.next_announcement <= this->now) {
      entry.next_announcement = this->now + milliseconds(500);
      this->Announce(index);
    }
    const TimePoint time = TimePoint() + this->now;
    const auto holder = entry.requester.Poll(entry.held, entry.known, time);
    if (!holder) {
      return;
    }
    ++this->requests;
    const std::size_t asked = std::stoul(holder->Value());
    this->Send(index, asked, this->loss, [this, index, asked] {
      Entry& source = *this->entries[asked];
      if (!source.budget.Take(kRowBytes, TimePoint() + this->now)) {
        return;
      }
      ++source.sent;
      this->distant_replies += this->AreNear(index, asked) ? 0 : 1;
      this->Send(asked, index, this->loss / 6, [this, index] {
        if (this->entries[index]->held != kNew) {
          this->Hold(index);
        }
      });
    });
  }

  double loss;
  SeededRandom random;
  Duration now{};
  std::vector<std::unique_ptr<Entry>> entries;
  std::multimap<Duration, std::function<void()>> messages;
};

// Guards CONFIG and the links: entries that the store turns away got a large
// configuration late, or one entry sent it to its whole failure domain at once.
TEST_CASE("a fleet gets a row in time although messages are lost") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (const double loss : {0.0, 0.3}) {
      LossyFleet fleet(103, loss, seed);
      // The two readers of each failure domain.
      for (std::size_t i = 0; i < 6; ++i) {
        fleet.Hold(i);
      }
      const auto end = fleet.Run(std::chrono::seconds(5));
      REQUIRE(end);
      CHECK(*end <= (loss > 0 ? milliseconds(2500) : milliseconds(1400)));
      CHECK(fleet.MaxSent() <= 16);
      CHECK(fleet.distant_replies == 0);
    }
  }
}

TEST_CASE("a failure domain without the row gets few copies from others") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    LossyFleet fleet(103, 0.1, seed);
    // Readers of the first two failure domains.
    for (const std::size_t reader : {0, 1, 3, 4}) {
      fleet.Hold(reader);
    }
    REQUIRE(fleet.Run(std::chrono::seconds(5)));
    CHECK(fleet.distant_replies <= 6);
  }
}

}  // namespace
}  // namespace acacia
