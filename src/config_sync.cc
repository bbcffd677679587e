#include "src/config_sync.h"

#include <algorithm>
#include <utility>

#include "src/config_chunks.h"
#include "src/config_publisher.h"
#include "src/content_hash.h"
#include "src/flat_table.h"
#include "src/log_event.h"

namespace acacia {
namespace {

constexpr Duration kPollInterval = std::chrono::seconds(10);
constexpr Duration kMaxFirstPollDelay = std::chrono::milliseconds(200);
constexpr Duration kPollTimeout = std::chrono::seconds(30);
// With a shorter first backoff, the retries of a fleet of 1,300 would take more
// than a quarter of the platform's reads. An instance that is not ready yet may
// retry sooner.
constexpr Duration kFirstBackoff = std::chrono::seconds(5);
constexpr Duration kFirstBackoffAtStart = std::chrono::seconds(1);
constexpr Duration kFetchTimeout = std::chrono::seconds(1);
constexpr Duration kMaxFetchBackoff = std::chrono::seconds(8);
constexpr Duration kMaxSpreadWait = std::chrono::seconds(3);
constexpr std::size_t kMaxParallelFetches = 16;
// Peers to hear from before their newest generation is trusted while the
// platform is unavailable.
constexpr std::size_t kMinTrustedPeers = 3;
// How long a new instance listens to peers before it trusts their newest
// generation.
constexpr Duration kMinListenTime = std::chrono::seconds(3);

}  // namespace

ConfigSync::ConfigSync(RandomSource& random,
                       OperationIds& operations,
                       TimePoint now)
    : random(random), operations(operations), started(now) {
  const auto spread = static_cast<std::uint64_t>(kMaxFirstPollDelay.count());
  this->next_poll =
      now + Duration(static_cast<std::int64_t>(random.Below(spread)));
}

// Uniform over half to one and a half times `around`.
Duration ConfigSync::Jittered(Duration around) {
  const double factor = 0.5 + this->random.Fraction();
  return std::chrono::duration_cast<Duration>(around * factor);
}

ConfigSync::Requests ConfigSync::OnTick(const std::vector<PeerAddress>& peers,
                                        std::size_t known_peers,
                                        TimePoint now) {
  Requests requests;
  this->PollHead(now, requests.actions);
  this->StartFetches(peers, now, requests);
  this->UpdateReady(known_peers, now);
  return requests;
}

void ConfigSync::PollHead(TimePoint now, AgentActions& actions) {
  if (this->poll && now - this->poll_sent > kPollTimeout) {
    this->poll.reset();
  }
  if (this->poll || now < this->next_poll) {
    return;
  }
  this->poll = this->operations.Take();
  this->poll_sent = now;
  actions.push_back(ReadRow{*this->poll, kHeadKey});
}

bool ConfigSync::OnRowRead(OperationId operation,
                           const RowResult& result,
                           TimePoint now) {
  if (!this->poll || *this->poll != operation) {
    return false;
  }
  this->poll.reset();
  if (!result) {
    this->last_poll_succeeded = false;
    const auto doublings = std::min<std::uint32_t>(this->failed_polls++, 4);
    const Duration first = this->ready ? kFirstBackoff : kFirstBackoffAtStart;
    const Duration backoff = first * (1U << doublings);
    this->next_poll = now + this->Jittered(std::min(backoff, kPollInterval));
    return true;
  }
  this->failed_polls = 0;
  // After the first success, instances that started or recovered together
  // spread their polls over the whole interval.
  const bool first = !std::exchange(this->last_poll_succeeded, true);
  this->next_poll =
      now + (first ? this->Jittered(kPollInterval) - kPollInterval / 2
                   : this->Jittered(kPollInterval));
  this->platform_has_no_head = result->version == RowVersion();
  auto head = UnpackTable<schema::ConfigurationHead>(result->value);
  if (this->platform_has_no_head || !head) {
    return true;
  }
  this->last_platform_answer = this->poll_sent;
  // The platform's head is older than the target, so the target was never
  // accepted.
  if (head->generation < this->target.generation &&
      this->current.generation < this->target.generation) {
    this->target = this->current;
  }
  this->AdoptTarget(*head, now);
  return true;
}

void ConfigSync::OnPeerHead(const PeerAddress& peer,
                            const schema::ConfigurationHeadT& head,
                            TimePoint now) {
  this->heard_from.insert(peer);
  this->newest_at_peers = std::max(this->newest_at_peers, head.generation);
  this->AdoptTarget(head, now);
  const bool is_target = head.generation == this->target.generation &&
                         head.manifest_hash == this->target.manifest_hash;
  const bool fetching = this->target.generation > this->current.generation;
  if (is_target && fetching && this->sources.size() < kMaxParallelFetches) {
    this->sources.push_back(peer);
  }
}

void ConfigSync::AdoptTarget(const schema::ConfigurationHeadT& head,
                             TimePoint now) {
  if (head.generation <= this->target.generation) {
    return;
  }
  this->target = head;
  this->target.history.clear();
  this->fetches.clear();
  this->sources.clear();
  this->AdvanceToTarget(now);
}

void ConfigSync::FetchIfMissing(const ObjectHash& hash, TimePoint now) {
  if (this->objects.count(hash) == 0) {
    this->fetches.emplace(hash, Fetch{now, 0, std::nullopt});
  }
}

// Fetches the objects that the target still lacks, and puts the target in force
// once all are there.
void ConfigSync::AdvanceToTarget(TimePoint now) {
  if (this->target.generation <= this->current.generation) {
    return;
  }
  const ObjectHash manifest_hash(this->target.manifest_hash);
  const auto manifest_body = this->objects.find(manifest_hash);
  if (manifest_body == this->objects.end()) {
    this->FetchIfMissing(manifest_hash, now);
    return;
  }
  const auto manifest = ParseManifest(manifest_body->second);
  if (!manifest) {
    return;
  }
  for (const ObjectHash& hash : *manifest) {
    this->FetchIfMissing(hash, now);
  }
  if (this->fetches.empty()) {
    this->PutInForce(*manifest, now);
  }
}

void ConfigSync::PutInForce(const std::vector<ObjectHash>& manifest,
                            TimePoint now) {
  auto joined = JoinChunks(manifest, this->objects);
  if (!joined) {
    LogEvent("configuration_unreadable", LogSeverity::kError)
        .With("generation", this->target.generation);
    return;
  }
  this->file_set = std::make_shared<const schema::FileSetT>(std::move(*joined));
  this->current = this->target;
  this->in_force_since = now;
  this->changed = true;
  std::set<ObjectHash> used(manifest.begin(), manifest.end());
  used.insert(ObjectHash(this->current.manifest_hash));
  std::erase_if(this->objects, [&](const auto& object) {
    return used.count(object.first) == 0;
  });
  LogEvent("configuration_in_force")
      .With("generation", this->current.generation)
      .With("writer", this->current.writer);
}

void ConfigSync::StartFetches(const std::vector<PeerAddress>& peers,
                              TimePoint now,
                              Requests& requests) {
  std::size_t started_fetches = 0;
  for (auto& [hash, fetch] : this->fetches) {
    if (now < fetch.next_try) {
      continue;
    }
    if (++started_fetches > kMaxParallelFetches) {
      return;
    }
    const auto& from = this->sources.empty() ? peers : this->sources;
    // Tries alternate between a peer and the platform. A peer is asked first
    // when some are known to have the object, else the platform.
    const std::uint32_t turn = fetch.tries + (this->sources.empty() ? 1 : 0);
    const bool ask_peer = !from.empty() && turn % 2 == 0;
    const auto doublings = std::min<std::uint32_t>(fetch.tries / 2, 3);
    const Duration wait =
        std::min<Duration>(kFetchTimeout * (1U << doublings), kMaxFetchBackoff);
    ++fetch.tries;
    fetch.next_try = now + this->Jittered(wait);
    if (ask_peer) {
      const auto choice = this->random.Below(from.size());
      requests.peer_requests.push_back({from[choice], hash});
    } else {
      fetch.operation = this->operations.Take();
      requests.actions.push_back(ReadObject{*fetch.operation, hash});
    }
  }
}

bool ConfigSync::OnObjectRead(OperationId operation,
                              const ObjectResult& result,
                              TimePoint now) {
  const auto fetch = std::find_if(
      this->fetches.begin(), this->fetches.end(),
      [&](const auto& entry) { return entry.second.operation == operation; });
  if (fetch == this->fetches.end()) {
    return false;
  }
  if (result) {
    this->AcceptObject(fetch->first, *result, now);
  }
  return true;
}

void ConfigSync::OnPeerObject(const schema::ObjectReplyT& reply,
                              TimePoint now) {
  const ObjectHash hash(reply.hash);
  if (this->fetches.count(hash) != 0) {
    this->AcceptObject(hash, std::string(reply.body.begin(), reply.body.end()),
                       now);
  }
}

void ConfigSync::AcceptObject(const ObjectHash& hash,
                              std::string body,
                              TimePoint now) {
  if (HashContent(body) != hash) {
    ++this->corrupt_objects;
    LogEvent("object_corrupt", LogSeverity::kWarning).With("hash", hash);
    return;
  }
  const ObjectHash accepted = hash;
  this->objects[accepted] = std::move(body);
  this->fetches.erase(accepted);
  this->AdvanceToTarget(now);
}

const std::string* ConfigSync::FindObject(const ObjectHash& hash) const {
  const auto object = this->objects.find(hash);
  return object == this->objects.end() ? nullptr : &object->second;
}

void ConfigSync::UpdateReady(std::size_t known_peers, TimePoint now) {
  const bool up_to_date = this->current.generation > 0 &&
                          this->current.generation >= this->target.generation;
  if (this->ready || !up_to_date) {
    return;
  }
  const std::size_t min_peers =
      std::max<std::size_t>(1, std::min(kMinTrustedPeers, known_peers));
  const bool peers_agree = this->heard_from.size() >= min_peers &&
                           now - this->started >= kMinListenTime;
  this->ready = this->last_platform_answer.has_value() || peers_agree;
}

bool ConfigSync::IsSpread(bool has_peers, TimePoint now) const {
  return !has_peers || this->newest_at_peers >= this->current.generation ||
         now - this->in_force_since >= kMaxSpreadWait;
}

bool ConfigSync::TakeChanged() {
  return std::exchange(this->changed, false);
}

std::vector<std::string> ConfigSync::Status() const {
  std::vector<std::string> lines;
  lines.push_back("configuration generation " +
                  std::to_string(this->current.generation) + " by " +
                  this->current.writer);
  if (!this->fetches.empty()) {
    lines.push_back("fetching " + std::to_string(this->fetches.size()) +
                    " objects of generation " +
                    std::to_string(this->target.generation));
  }
  if (this->corrupt_objects != 0) {
    lines.push_back("refused " + std::to_string(this->corrupt_objects) +
                    " corrupt objects");
  }
  if (this->failed_polls != 0) {
    lines.push_back("platform unreachable in the last " +
                    std::to_string(this->failed_polls) + " polls");
  }
  if (this->platform_has_no_head) {
    lines.emplace_back("no configuration has been accepted yet");
  }
  if (!this->ready) {
    lines.push_back(
        "not ready: the newest generation is known from neither the platform "
        "nor enough peers (heard " +
        std::to_string(this->heard_from.size()) + ")");
  }
  return lines;
}

}  // namespace acacia
