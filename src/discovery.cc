#include "src/discovery.h"

#include <algorithm>
#include <utility>

namespace acacia {
namespace {

constexpr Duration kMinPollInterval = std::chrono::seconds(2);
constexpr Duration kPollTimeout = std::chrono::seconds(30);
constexpr Duration kColdPeriod = std::chrono::seconds(10);

}  // namespace

Discovery::Discovery(RandomSource& random, OperationIds& operations)
    : random(random), operations(operations) {}

Duration Discovery::Jittered(Duration around) {
  return std::chrono::duration_cast<Duration>(around *
                                              (0.5 + this->random.Fraction()));
}

void Discovery::SetNames(const std::vector<std::string>& names, TimePoint now) {
  std::erase_if(this->polls, [&](const auto& entry) {
    return std::find(names.begin(), names.end(), entry.first) == names.end();
  });
  for (const std::string& name : names) {
    const auto [poll, added] = this->polls.try_emplace(name);
    if (added) {
      const auto spread = std::chrono::milliseconds(this->random.Below(500));
      poll->second.next = now + spread;
    }
  }
}

void Discovery::OnTick(std::size_t fleet_size,
                       TimePoint now,
                       AgentActions& actions) {
  const double reads =
      static_cast<double>(fleet_size) * static_cast<double>(this->polls.size());
  const auto fleet_interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(reads / kMaxFleetReadsPerSecond));
  for (auto& [name, poll] : this->polls) {
    if (poll.operation && now - poll.sent > kPollTimeout) {
      poll.operation.reset();
    }
    if (poll.operation || now < poll.next) {
      continue;
    }
    poll.operation = this->operations.Take();
    poll.sent = now;
    const Duration interval = std::max(kMinPollInterval, fleet_interval);
    // Half an interval is taken off the first pause, so that instances that
    // started together spread over a whole interval from the start.
    const bool first = !std::exchange(poll.asked_before, true);
    poll.next =
        now + this->Jittered(interval) - (first ? interval / 2 : Duration());
    actions.push_back(ReadInstanceList{*poll.operation, name});
  }
}

std::string Discovery::OnInstanceList(OperationId operation,
                                      const InstanceListResult& result,
                                      TimePoint now) {
  const auto found = std::find_if(
      this->polls.begin(), this->polls.end(),
      [&](const auto& entry) { return entry.second.operation == operation; });
  if (found == this->polls.end()) {
    return {};
  }
  Poll& poll = found->second;
  poll.operation.reset();
  if (!result) {
    if (!poll.list.asked) {
      this->missing.push_back(found->first);
    }
    return {};
  }
  std::vector<ListedServer> next;
  for (const ListedInstance& listed : *result) {
    const auto known = std::find_if(
        poll.list.servers.begin(), poll.list.servers.end(),
        [&](const auto& s) { return s.listed.address == listed.address; });
    const bool is_new = known == poll.list.servers.end();
    const bool cold = is_new && poll.list.asked;
    const TimePoint cold_until = cold ? now + kColdPeriod : TimePoint();
    next.push_back({listed, is_new ? cold_until : known->cold_until});
  }
  poll.list.servers = std::move(next);
  poll.list.asked = poll.sent;
  return found->first;
}

std::vector<std::string> Discovery::TakeUnavailableLists() {
  return std::exchange(this->missing, {});
}

std::string Discovery::OnPeerList(const schema::ListReplyT& reply,
                                  TimePoint now) {
  const auto poll = this->polls.find(reply.name);
  if (poll == this->polls.end() || poll->second.list.asked) {
    return {};
  }
  List& list = poll->second.list;
  list.asked = now - std::chrono::milliseconds(reply.age_ms);
  for (const auto& server : reply.servers) {
    if (server) {
      const ListedInstance listed{server->address,
                                  FailureDomain(server->failure_domain),
                                  server->slots, server->leaving};
      list.servers.push_back({listed, TimePoint()});
    }
  }
  return poll->first;
}

const Discovery::List* Discovery::Find(const std::string& name) const {
  const auto poll = this->polls.find(name);
  return poll == this->polls.end() || !poll->second.list.asked
             ? nullptr
             : &poll->second.list;
}

}  // namespace acacia
