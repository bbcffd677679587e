// Tests which entries relay store changes, and to whom, with three entries of
// one failure domain on loopback.
#include "src/entry_peers.h"

#include <catch2/catch.hpp>

#include "src/request_quarantine.h"
#include "test/io_fixture.h"

namespace acacia {
namespace {

constexpr TableVersions kSince{RowVersion(5), RowVersion(5), RowVersion(5)};

std::string FreeAddress() {
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

schema::MemberUpdateT Member(const std::string& name) {
  schema::MemberUpdateT member;
  member.instance = name;
  member.failure_domain = "a";
  member.peer_address = FreeAddress();
  return member;
}

struct Entry {
  Entry(boost::asio::io_context& context,
        const schema::MemberUpdateT& self,
        const Clock& clock)
      : directory(self),
        peers(context.get_executor(),
              self,
              directory,
              clock,
              {[this](const TableVersions& rows) { this->known = rows; },
               [this](FollowedTable table,
                      RowVersion after,
                      const TableRows& changes) {
                 this->table = table;
                 this->after = after;
                 this->relayed.push_back(changes);
               },
               [this](const std::string&, const auto& items) {
                 this->evidence.insert(this->evidence.end(), items.begin(),
                                       items.end());
               },
               [this, &clock](const auto& reports) {
                 this->quarantine.OnPeerReports(reports, clock.Now());
               },
               [this, &clock](const auto& quarantines) {
                 this->quarantine.OnPeerQuarantines(quarantines, clock.Now());
               }}) {
    this->is_listening = this->peers.Listen(self.peer_address).has_value();
  }

  // Sends what the quarantine has to report, as often as an entry does.
  void ShareRequests(TimePoint now) {
    this->peers.UpdateRole();
    if (this->quarantine.TakeChanged()) {
      this->peers.ShareSoon();
    }
    this->peers.Share({{}, this->quarantine.TakeReports(now)}, kSince, kSince,
                      this->quarantine.Quarantines(now));
  }

  MemberDirectory directory;
  TableVersions known;
  std::optional<FollowedTable> table;
  RowVersion after;
  std::vector<TableRows> relayed;
  std::vector<schema::BackendEvidenceT> evidence;
  RequestQuarantine quarantine{std::make_unique<SeededRandom>(1)};
  EntryPeers peers;
  bool is_listening = false;
};

// Creates an entry that listens on a free port and sets its member's address.
std::unique_ptr<Entry> NewEntry(boost::asio::io_context& context,
                                schema::MemberUpdateT& self,
                                const Clock& clock) {
  self.peer_address = "127.0.0.1:0";
  // The port of the stream may be in use for datagrams.
  constexpr int kMaxTries = 20;
  for (int i = 0; i < kMaxTries; ++i) {
    auto entry = std::make_unique<Entry>(context, self, clock);
    if (entry->is_listening) {
      self.peer_address = entry->peers.Address().Value();
      return entry;
    }
  }
  FAIL("no free port");
  return nullptr;
}

struct PeersFixture {
  PeersFixture() {
    for (const char* name : {"a0", "a1", "a2"}) {
      this->members.push_back(Member(name));
    }
    for (const auto& self : this->members) {
      this->entries.push_back(
          std::make_unique<Entry>(this->context, self, this->clock));
      REQUIRE(this->entries.back()->is_listening);
      for (const auto& member : this->members) {
        this->entries.back()->directory.Put(member);
      }
    }
    std::vector<EntryLocation> places;
    for (const auto& member : this->members) {
      places.push_back({InstanceId(member.instance), FailureDomain("a")});
    }
    Cells cells;
    cells.Build(places, {});
    for (const auto& entry : this->entries) {
      entry->peers.SetCells(cells);
      entry->peers.Share({}, kSince, kSince);
    }
    RunUntil(this->context, [this] {
      return std::all_of(
          this->entries.begin(), this->entries.end(), [this](const auto& each) {
            return each->directory.LiveDomainPeers(this->clock.Now()).size() ==
                   2;
          });
    });
    for (const auto& entry : this->entries) {
      entry->peers.UpdateRole();
    }
  }

  // Never advances, so that no claim expires.
  ManualClock clock;
  boost::asio::io_context context;
  std::vector<schema::MemberUpdateT> members;
  std::vector<std::unique_ptr<Entry>> entries;
};

TEST_CASE("the first reader passes changes on, and the second does not") {
  PeersFixture f;
  CHECK(f.entries[0]->peers.Role() == ReaderRole::kFirst);
  CHECK(f.entries[1]->peers.Role() == ReaderRole::kSecond);
  CHECK(f.entries[2]->peers.Role() == ReaderRole::kListener);
  CHECK(f.entries[2]->known == kSince);
  const auto registrations = FollowedTable::Registrations;
  CHECK(f.entries[2]->peers.IsReadByOthers(registrations, RowVersion(6)));
  CHECK_FALSE(f.entries[2]->peers.IsReadByOthers(registrations, RowVersion(4)));
  // A reader reads the store for itself.
  CHECK_FALSE(f.entries[1]->peers.IsReadByOthers(registrations, RowVersion(6)));

  const TableRows changes{{{"i-1", "row", RowVersion(8), false}},
                          RowVersion(9)};
  f.entries[1]->peers.RelayChanges(registrations, RowVersion(1), {});
  f.entries[0]->peers.RelayChanges(registrations, RowVersion(7), changes);
  RunUntil(f.context, [&] { return !f.entries[2]->relayed.empty(); });
  CHECK(f.entries[2]->table == registrations);
  CHECK(f.entries[2]->after == RowVersion(7));
  CHECK(f.entries[2]->relayed.front().version == RowVersion(9));
  CHECK(f.entries[0]->relayed.empty());
}

TEST_CASE(
    "changes larger than a datagram arrive, very large ones are not sent") {
  PeersFixture f;
  const auto table = FollowedTable::Configuration;
  const TableRows huge{{{"c", std::string(40000, 'x'), RowVersion(8), false}},
                       RowVersion(8)};
  const TableRows large{{{"c", std::string(4000, 'y'), RowVersion(9), false}},
                        RowVersion(9)};
  f.entries[0]->peers.RelayChanges(table, RowVersion(7), huge);
  f.entries[0]->peers.RelayChanges(table, RowVersion(8), large);
  RunUntil(f.context, [&] { return !f.entries[2]->relayed.empty(); });
  CHECK(f.entries[2]->relayed.front().rows[0].value.size() == 4000);
}

// Of another failure domain than the fixture's entries.
schema::MemberUpdateT DistantMember() {
  schema::MemberUpdateT member = Member("b0");
  member.failure_domain = "b";
  return member;
}

TEST_CASE("that a backend server is leaving is sent to all failure domains") {
  PeersFixture f;
  const schema::MemberUpdateT other = DistantMember();
  Entry distant(f.context, other, f.clock);
  REQUIRE(distant.is_listening);
  f.entries[0]->directory.Put(other);
  schema::BackendEvidenceT leaving;
  leaving.id = "i-1";
  leaving.leaving = true;
  f.entries[0]->peers.Share({{leaving}}, kSince, kSince);
  RunUntil(f.context, [&] { return !distant.evidence.empty(); });
  CHECK(distant.evidence.front().leaving);
}

TEST_CASE("what concerns a rate limit is sent to all failure domains") {
  PeersFixture f;
  const schema::MemberUpdateT other = DistantMember();
  Entry distant(f.context, other, f.clock);
  REQUIRE(distant.is_listening);
  f.entries[0]->directory.Put(other);
  schema::BackendEvidenceT unrelated;
  unrelated.id = "i-1";
  schema::BackendEvidenceT started;
  started.id = "i-2";
  started.started = 2;
  schema::BackendEvidenceT named;
  named.id = "i-3";
  named.rate_limit = 0.5;
  schema::BackendEvidenceT ended;
  ended.id = "i-4";
  ended.rate_limit_ended = true;
  f.entries[0]->peers.Share({{unrelated, started, named, ended}}, kSince,
                            kSince);
  RunUntil(f.context, [&] { return !distant.evidence.empty(); });
  REQUIRE(distant.evidence.size() == 3);
  CHECK(distant.evidence[0].started == 2);
  CHECK(distant.evidence[1].rate_limit == 0.5);
  CHECK(distant.evidence[2].rate_limit_ended);
}

// An evidence message between two heartbeats must carry the reader's silent
// entries too: without them it cleared the receiver's last report, and entries
// of other cells named a dead entry to callers again.
TEST_CASE("a reader's report of silent entries lasts between heartbeats") {
  PeersFixture f;
  const schema::MemberUpdateT stranger = Member("a9");
  f.entries[0]->directory.Put(stranger);
  f.entries[2]->directory.Put(stranger);
  f.entries[0]->directory.OnHeard(InstanceId("a9"), f.clock.Now(), false);
  const auto is_reported = [&f] {
    return f.entries[2]->directory.SilentDomainPeers(f.clock.Now()) ==
           std::vector<std::string>{"a9"};
  };
  f.entries[0]->peers.ShareSoon();
  f.entries[0]->peers.Share({}, kSince, kSince);
  RunUntil(f.context, is_reported);
  constexpr TableVersions kNewer{RowVersion(6), RowVersion(6), RowVersion(6)};
  f.entries[0]->peers.Share({{schema::BackendEvidenceT()}}, kNewer, kSince);
  RunUntil(f.context, [&] { return f.entries[2]->known == kNewer; });
  CHECK(is_reported());
}

// Plays a request that crashes a backend server at each of three entries, the
// last, the middle and the first of the fleet, until all entries refuse it.
void CheckThatAllLearnOfCrashes(int domains, int entries_per_domain) {
  constexpr RequestFingerprint kDeadly(7);
  ManualClock clock;
  boost::asio::io_context context;
  std::vector<schema::MemberUpdateT> members;
  std::vector<EntryLocation> places;
  for (int i = 0; i < domains * entries_per_domain; ++i) {
    const std::string domain(1,
                             static_cast<char>('a' + i / entries_per_domain));
    schema::MemberUpdateT& member = members.emplace_back();
    member.instance = domain + std::to_string(i);
    member.failure_domain = domain;
    places.push_back({InstanceId(member.instance), FailureDomain(domain)});
  }
  Cells cells;
  cells.Build(places, {});
  std::vector<std::unique_ptr<Entry>> entries;
  for (schema::MemberUpdateT& self : members) {
    entries.push_back(NewEntry(context, self, clock));
    entries.back()->peers.SetCells(cells);
  }
  for (const auto& entry : entries) {
    for (const auto& member : members) {
      entry->directory.Put(member);
    }
  }
  const auto share = [&] {
    for (const auto& entry : entries) {
      entry->ShareRequests(clock.Now());
    }
    context.run_for(std::chrono::milliseconds(50));
    context.restart();
  };
  const auto count_refusing = [&] {
    return std::count_if(entries.begin(), entries.end(), [&](const auto& each) {
      return each->quarantine.Remaining(kDeadly, clock.Now()).has_value();
    });
  };
  share();
  for (const std::size_t at :
       {members.size() - 1, members.size() / 2, std::size_t{0}}) {
    CHECK(count_refusing() == 0);
    const TimePoint started = clock.Now();
    clock.Advance(std::chrono::milliseconds(100));
    entries[at]->quarantine.OnBroken(kDeadly, BackendId(std::to_string(at)),
                                     started, clock.Now());
    share();
  }
  const auto all = static_cast<std::ptrdiff_t>(entries.size());
  for (int round = 0; round < 50 && count_refusing() < all; ++round) {
    clock.Advance(std::chrono::milliseconds(40));
    share();
  }
  CHECK(count_refusing() == all);
}

TEST_CASE("all entries of a small fleet learn of a crashing request") {
  CheckThatAllLearnOfCrashes(3, 5);
}

TEST_CASE("all entries of a fleet of many cells learn of a crashing request") {
  CheckThatAllLearnOfCrashes(3, 45);
}

}  // namespace
}  // namespace acacia
