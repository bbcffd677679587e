// Tests what one entry admits of an account with a limit, by what it knows of
// the account's keeper.
#include "src/account_quota.h"

#include <catch2/catch.hpp>

#include "src/peer_messages.h"

namespace acacia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const AccountId kAccount("acme");
constexpr double kRate = 100;
constexpr double kBurst = 50;

struct LimiterFixture {
  LimiterFixture() { this->SetLimit(kRate, kBurst); }

  void SetLimit(double rate, double burst) {
    AccountTable table;
    table.Add({kAccount, std::nullopt, rate, burst}, {"key"});
    this->limiter.SetAccounts(&table);
  }
  void SetContact(bool heard, bool cut_off) {
    QuotaContact contact;
    contact.has_heard_keeper = heard;
    contact.is_cut_off = cut_off;
    contact.fleet_size = 10;
    this->limiter.SetContact(contact);
  }
  void SetFraction(double fraction) {
    this->limiter.OnFraction(
        {HashOf(kAccount).Value(),
         static_cast<std::uint16_t>(fraction * kWholeFraction)},
        this->now);
  }
  // Sends requests at twice the limit, with reports; returns how many were
  // admitted.
  int Flood(Duration duration) {
    int admitted = 0;
    for (const TimePoint end = this->now + duration; this->now < end;
         this->now += milliseconds(5)) {
      admitted += this->limiter.Admit(kAccount, this->now) ? 0 : 1;
      this->limiter.TakeUses(this->now);
    }
    return admitted;
  }

  TimePoint now{seconds(1000)};
  QuotaLimiter limiter{std::make_unique<SeededRandom>(1)};
};

TEST_CASE("an entry that has heard no keeper admits its share of a limit") {
  LimiterFixture f;
  f.SetContact(false, false);
  // A tenth of the burst, and of the rate.
  CHECK(f.Flood(seconds(10)) <= 5 + 100 + 1);
  LimiterFixture fresh;
  fresh.SetLimit(0.001, 0.001);
  fresh.SetContact(false, false);
  CHECK(fresh.Flood(seconds(10)) == 1);
}

TEST_CASE("an entry admits the fraction that the keeper names") {
  LimiterFixture f;
  f.SetContact(true, false);
  CHECK(f.Flood(seconds(1)) == 200);
  f.SetFraction(0.25);
  CHECK(f.Flood(seconds(4)) == Approx(200).margin(1));
  CHECK(f.limiter.LimitedCount(f.now) == 1);
  CHECK(f.limiter.RefusedCount() == Approx(600).margin(1));
  f.SetFraction(1);
  CHECK(f.Flood(seconds(1)) == 200);
}

// Guards against a cut-off entry that goes on to use the whole limit.
TEST_CASE("a cut-off entry holds its rate for a while, then takes its share") {
  LimiterFixture f;
  f.SetContact(true, false);
  f.SetFraction(0.25);
  // 50 requests a second.
  f.Flood(seconds(8));
  f.SetContact(true, true);
  CHECK(f.Flood(QuotaLimiter::kHoldTime) <= 50 * 8 + 15);
  CHECK(f.Flood(seconds(10)) <= 100 + 6);
}

TEST_CASE("accounts without a limit are admitted and not reported") {
  LimiterFixture f;
  f.SetContact(true, false);
  CHECK_FALSE(f.limiter.Admit(AccountId("other"), f.now));
  CHECK(f.limiter.TakeUses(f.now).empty());
  f.limiter.SetAccounts(nullptr);
  CHECK_FALSE(f.limiter.HasLimits());
  CHECK(f.Flood(seconds(1)) == 200);
}

TEST_CASE("a request that did not run is taken back from the totals") {
  LimiterFixture f;
  f.SetContact(true, false);
  f.limiter.Admit(kAccount, f.now);
  f.limiter.Admit(kAccount, f.now);
  f.limiter.Return(kAccount);
  const auto uses = f.limiter.TakeUses(f.now);
  REQUIRE(uses.size() == 1);
  CHECK(uses[0].arrived() == 2);
  CHECK(uses[0].admitted() == 1);
  CHECK(f.limiter.TakeUses(f.now).empty());
}

TEST_CASE("quota messages keep their content") {
  schema::QuotaReportT report;
  report.instance = "entry-1";
  report.process = 7;
  report.sequence = 8;
  report.uses.emplace_back(1, 2, 3, 4, 5, 6, true);
  const auto message = ParseEntryMessage(SerializeQuotaReport(report));
  REQUIRE((message && message->quota_report));
  REQUIRE(message->quota_report->uses.size() == 1);
  CHECK(message->quota_report->uses[0].account() == 1);
  CHECK(message->quota_report->uses[0].handover());
  schema::QuotaReplyT reply;
  reply.instance = "entry-2";
  reply.fractions.emplace_back(1, 2);
  const auto answer = ParseEntryMessage(SerializeQuotaReply(reply));
  REQUIRE((answer && answer->quota_reply));
  REQUIRE(answer->quota_reply->fractions.size() == 1);
  CHECK(answer->quota_reply->fractions[0].fraction() == 2);
  // One account in a datagram of either kind; what the design page counts with.
  CHECK(SerializeQuotaReport(report).size() <= 112);
  CHECK(SerializeQuotaReply(reply).size() <= 96);
}

}  // namespace
}  // namespace acacia
