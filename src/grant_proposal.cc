#include "src/grant_proposal.h"

#include <algorithm>
#include <memory>
#include <tuple>
#include <utility>

namespace acacia {
namespace {

using schema::EjectionEntryT;
using schema::EjectionGrantT;

constexpr Duration kFirstProbation = std::chrono::seconds(30);
constexpr Duration kMaxProbation = std::chrono::minutes(30);

bool IsListed(const std::vector<std::unique_ptr<EjectionEntryT>>& entries,
              const BackendId& id) {
  return std::any_of(entries.begin(), entries.end(), [&](const auto& entry) {
    return entry->address == id.Value();
  });
}

// Keeps each returning backend server while it counts for the floor and while
// its relapses are remembered (twice its probation).
bool KeepReturning(const ProposalInput& input, EjectionGrantT& next) {
  bool changed = false;
  for (const auto& entry : input.grant.returning) {
    const Duration retention =
        std::max(kReturningTime, 2 * Probation(entry->relapses));
    if (input.age(*entry, true) >= retention) {
      changed = true;
    } else {
      next.returning.push_back(std::make_unique<EjectionEntryT>(*entry));
    }
  }
  return changed;
}

// Moves the backend servers whose probation is over, or whose ejection the
// floor no longer allows, to returning.
bool ReleaseEjected(const ProposalInput& input, EjectionGrantT& next) {
  bool changed = false;
  const auto kept =
      SelectWithinFloor(input.capacity, EjectedInOrder(input.grant));
  for (const auto& entry : input.grant.ejected) {
    const BackendId id(entry->address);
    const bool fits = std::find(kept.begin(), kept.end(), id) != kept.end();
    const bool probation_over =
        input.age(*entry, false) >= Probation(entry->relapses);
    auto copy = std::make_unique<EjectionEntryT>(*entry);
    if (fits && !probation_over) {
      next.ejected.push_back(std::move(copy));
      continue;
    }
    changed = true;
    copy->since_unix_ms = static_cast<std::uint64_t>(input.unix_now.count());
    next.returning.push_back(std::move(copy));
  }
  return changed;
}

// The backend servers that some instance may apply as ejected once `next` is
// written.
std::set<BackendId> PossiblyEjected(const ProposalInput& input,
                                    const EjectionGrantT& next) {
  std::set<BackendId> out;
  for (const auto& entry : next.ejected) {
    out.insert(BackendId(entry->address));
  }
  for (const auto& entry : next.returning) {
    if (input.age(*entry, true) < kReturningTime) {
      out.insert(BackendId(entry->address));
    }
  }
  return out;
}

// Adds a backend server to the ejected. One that was returning has relapsed.
void Eject(const BackendId& id, UnixTime unix_now, EjectionGrantT& next) {
  auto entry = std::make_unique<EjectionEntryT>();
  entry->address = id.Value();
  entry->since_unix_ms = static_cast<std::uint64_t>(unix_now.count());
  std::erase_if(next.returning, [&](const auto& before) {
    if (before->address != id.Value()) {
      return false;
    }
    entry->relapses = std::max(entry->relapses, before->relapses + 1);
    return true;
  });
  next.ejected.push_back(std::move(entry));
}

// Ejects the sick backend servers as far as the floor allows.
bool EjectSick(const ProposalInput& input, EjectionGrantT& next) {
  bool changed = false;
  for (const BackendId& id : input.sick) {
    if (input.capacity.servers.count(id) == 0 ||
        IsListed(input.grant.ejected, id)) {
      continue;
    }
    auto out = PossiblyEjected(input, next);
    out.insert(id);
    if (KeepsFloor(input.capacity, out)) {
      Eject(id, input.unix_now, next);
      changed = true;
    }
  }
  return changed;
}

}  // namespace

Duration Probation(std::uint32_t relapses) {
  const Duration doubled = kFirstProbation * (1U << std::min(relapses, 10U));
  return std::min(doubled, kMaxProbation);
}

std::vector<BackendId> EjectedInOrder(const EjectionGrantT& grant) {
  std::vector<const EjectionEntryT*> entries;
  for (const auto& entry : grant.ejected) {
    entries.push_back(entry.get());
  }
  std::sort(entries.begin(), entries.end(),
            [](const EjectionEntryT* a, const EjectionEntryT* b) {
              return std::tie(a->since_unix_ms, a->address) <
                     std::tie(b->since_unix_ms, b->address);
            });
  std::vector<BackendId> ids;
  for (const EjectionEntryT* entry : entries) {
    ids.emplace_back(entry->address);
  }
  return ids;
}

std::optional<EjectionGrantT> ProposeGrant(const ProposalInput& input) {
  EjectionGrantT next;
  bool changed = KeepReturning(input, next);
  changed |= ReleaseEjected(input, next);
  changed |= EjectSick(input, next);
  return changed ? std::optional(std::move(next)) : std::nullopt;
}

}  // namespace acacia
