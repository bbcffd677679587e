#include "src/stop_planner.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "src/content_hash.h"
#include "src/flat_table.h"
#include "src/log_event.h"

namespace acacia {
namespace {

using schema::MemberState;
using schema::StopMarkT;
using schema::StopRowT;

constexpr char kLeaseKey[] = "lease/stop-plans";
constexpr Duration kAdvanceInterval = std::chrono::seconds(1);
constexpr Duration kNoticeInterval = std::chrono::seconds(2);
constexpr Duration kOperationTimeout = std::chrono::seconds(10);
// A marked instance that has not returned after this long is considered removed
// for good.
constexpr Duration kGoneTimeout = std::chrono::minutes(10);

std::string RowKey(const std::string& plan) {
  return "stop/" + plan;
}

std::string HashPlan(const StopPlan& plan) {
  std::string text = plan.name + "\n" + plan.failure_domain.Value();
  for (const InstanceId& instance : plan.instances) {
    text += "\n" + instance.Value();
  }
  return HashContent(text).Value();
}

bool Contains(const std::vector<std::unique_ptr<StopMarkT>>& marks,
              const std::string& instance) {
  return std::any_of(marks.begin(), marks.end(), [&](const auto& mark) {
    return mark->instance == instance;
  });
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool IsWellFormed(const StopRowT& row) {
  const auto present = [](const auto& mark) { return mark != nullptr; };
  return std::all_of(row.marked.begin(), row.marked.end(), present) &&
         std::all_of(row.targets.begin(), row.targets.end(), present);
}

}  // namespace

StopPlanner::StopPlanner(InstanceId self,
                         std::uint64_t started,
                         RandomSource& random,
                         OperationIds& operations)
    : self(std::move(self)),
      started(started),
      operations(operations),
      lease(kLeaseKey,
            this->self.Value() + "/" + std::to_string(started),
            random,
            operations) {}

void StopPlanner::SetPlans(std::vector<StopPlan> new_plans) {
  std::map<std::string, PlanState> next;
  for (StopPlan& plan : new_plans) {
    const std::string name = plan.name;
    PlanState state;
    state.hash = HashPlan(plan);
    const auto old = this->plans.find(name);
    if (old != this->plans.end() && old->second.hash == state.hash) {
      state = std::move(old->second);
    }
    state.plan = std::move(plan);
    next.emplace(name, std::move(state));
  }
  this->plans = std::move(next);
}

std::vector<AddressedStopNotice> StopPlanner::OnTick(
    const PlannerFleet& new_fleet,
    bool candidate,
    TimePoint now,
    AgentActions& actions) {
  std::vector<AddressedStopNotice> notices;
  this->fleet = new_fleet;
  const bool wanted = candidate && !this->plans.empty() && !this->must_stop;
  this->lease.OnTick(wanted, now, actions);
  if (!this->lease.IsHeld(now) || now < this->next_advance) {
    return notices;
  }
  this->next_advance = now + kAdvanceInterval;
  if (this->fenced_token != this->lease.FencingToken()) {
    this->fenced_token = this->lease.FencingToken();
    for (auto& [name, plan] : this->plans) {
      plan.row.reset();
    }
  }
  for (auto& [name, plan] : this->plans) {
    const bool timed_out = now - plan.sent > kOperationTimeout;
    if (plan.step != Step::kIdle && timed_out) {
      plan.step = Step::kIdle;
      plan.row.reset();
    }
    if (plan.step == Step::kIdle && !plan.row) {
      this->Load(plan, now, actions);
    }
  }
  if (!this->AllFenced()) {
    return notices;
  }
  for (auto& [name, plan] : this->plans) {
    this->Advance(plan, now, actions);
    this->Notify(plan, now, notices);
  }
  return notices;
}

bool StopPlanner::AllFenced() const {
  return std::all_of(
      this->plans.begin(), this->plans.end(), [](const auto& entry) {
        return entry.second.row && entry.second.step == Step::kIdle;
      });
}

void StopPlanner::Load(PlanState& plan, TimePoint now, AgentActions& actions) {
  plan.step = Step::kReading;
  plan.operation = this->operations.Take();
  plan.sent = now;
  actions.push_back(ReadRow{plan.operation, RowKey(plan.plan.name)});
}

void StopPlanner::AddTargets(const StopPlan& plan, StopRowT& row) const {
  const auto add = [&](const InstanceId& id, std::uint64_t process) {
    auto mark = std::make_unique<StopMarkT>();
    mark->instance = id.Value();
    mark->started = process;
    row.targets.push_back(std::move(mark));
  };
  for (const InstanceId& id : plan.instances) {
    const auto known = this->fleet.find(id);
    add(id, known == this->fleet.end() ? 0 : known->second.started);
  }
  for (const auto& [id, instance] : this->fleet) {
    const bool in_domain = !plan.failure_domain.IsEmpty() &&
                           instance.failure_domain == plan.failure_domain;
    if (in_domain && !Contains(row.targets, id.Value())) {
      add(id, instance.started);
    }
  }
}

// Rewrites the row with this holder's fencing token, or starts the row if the
// plan is new or has changed.
void StopPlanner::Fence(PlanState& plan,
                        const Row& row,
                        TimePoint now,
                        AgentActions& actions) {
  StopRowT next;
  auto current = UnpackTable<schema::StopRow>(row.value);
  const bool same = row.version != RowVersion() && current &&
                    IsWellFormed(*current) && current->plan_hash == plan.hash;
  if (same) {
    next = std::move(*current);
  } else {
    next.plan = plan.plan.name;
    next.plan_hash = plan.hash;
    this->AddTargets(plan.plan, next);
  }
  if (same && next.fencing_token == this->lease.FencingToken()) {
    plan.row = std::move(next);
    plan.version = row.version;
    return;
  }
  plan.version = row.version;
  this->WritePlanRow(plan, std::move(next), now, actions);
}

void StopPlanner::WritePlanRow(PlanState& plan,
                               StopRowT row,
                               TimePoint now,
                               AgentActions& actions) {
  row.fencing_token = this->lease.FencingToken();
  row.write_id = this->self.Value() + "/" + std::to_string(this->started) +
                 "/" + std::to_string(++this->writes);
  plan.proposed = std::move(row);
  plan.row.reset();
  plan.step = Step::kWriting;
  plan.operation = this->operations.Take();
  plan.sent = now;
  actions.push_back(WriteRow{plan.operation, RowKey(plan.plan.name),
                             plan.version,
                             PackTable<schema::StopRow>(plan.proposed)});
}

bool StopPlanner::OnRowRead(OperationId operation,
                            const RowResult& result,
                            TimePoint now,
                            AgentActions& actions) {
  if (this->lease.OnRowRead(operation, result, now, actions)) {
    return true;
  }
  if (this->notice_read && *this->notice_read == operation) {
    this->notice_read.reset();
    const auto row =
        result ? UnpackTable<schema::StopRow>(result->value) : std::nullopt;
    if (row && IsWellFormed(*row)) {
      for (const auto& mark : row->marked) {
        this->must_stop |= mark->instance == this->self.Value() &&
                           mark->started == this->started;
      }
    }
    return true;
  }
  for (auto& [name, plan] : this->plans) {
    if (plan.step == Step::kReading && plan.operation == operation) {
      plan.step = Step::kIdle;
      if (result && this->lease.IsHeld(now)) {
        this->Fence(plan, *result, now, actions);
      }
      return true;
    }
  }
  return false;
}

bool StopPlanner::OnRowWritten(OperationId operation,
                               const WriteResult& result,
                               TimePoint now) {
  if (this->lease.OnRowWritten(operation, result, now)) {
    return true;
  }
  for (auto& [name, plan] : this->plans) {
    if (plan.step == Step::kWriting && plan.operation == operation) {
      // After a failure the row is read again, which also shows whether a write
      // whose reply was lost took effect.
      plan.step = Step::kIdle;
      if (result) {
        plan.version = *result;
        plan.row = std::move(plan.proposed);
      }
      return true;
    }
  }
  return false;
}

bool StopPlanner::IsFinished(const PlanState& plan,
                             const StopMarkT& mark,
                             TimePoint now) const {
  const auto known = this->fleet.find(InstanceId(mark.instance));
  if (known != this->fleet.end() && known->second.state == MemberState::Alive &&
      mark.started != 0) {
    return known->second.started > mark.started;
  }
  const auto marked = plan.marked_at.find(mark.instance);
  const bool absent = known == this->fleet.end();
  return absent && marked != plan.marked_at.end() &&
         now - marked->second >= kGoneTimeout;
}

std::map<InstanceId, FailureDomain> StopPlanner::Unavailable() const {
  std::map<InstanceId, FailureDomain> unavailable;
  for (const auto& [id, instance] : this->fleet) {
    if (instance.state != MemberState::Alive) {
      unavailable[id] = instance.failure_domain;
    }
  }
  const auto add = [&](const StopRowT& row) {
    for (const auto& mark : row.marked) {
      const InstanceId id(mark->instance);
      const auto known = this->fleet.find(id);
      unavailable[id] = known == this->fleet.end()
                            ? FailureDomain()
                            : known->second.failure_domain;
    }
  };
  for (const auto& [name, plan] : this->plans) {
    if (plan.row) {
      add(*plan.row);
    }
    if (plan.step == Step::kWriting) {
      add(plan.proposed);
    }
  }
  return unavailable;
}

bool StopPlanner::FitsLimits(const StopPlan& plan,
                             const FailureDomain& domain) const {
  const auto unavailable = this->Unavailable();
  const auto in_domain = std::count_if(
      unavailable.begin(), unavailable.end(), [&](const auto& entry) {
        return entry.second == domain || entry.second.IsEmpty();
      });
  const std::size_t allowed = std::max<std::size_t>(
      1, this->fleet.size() * plan.max_stopping_percent / 100);
  return static_cast<std::size_t>(in_domain) <
             plan.max_stopping_per_failure_domain &&
         unavailable.size() < allowed;
}

// Marks one more target if the limits allow it, this instance only if there is
// no other.
bool StopPlanner::MarkNext(const PlanState& plan, StopRowT& row) const {
  const StopMarkT* chosen = nullptr;
  for (const auto& target : row.targets) {
    const auto known = this->fleet.find(InstanceId(target->instance));
    const bool done = Contains(row.marked, target->instance) ||
                      Contains(row.finished, target->instance);
    if (done || known == this->fleet.end() ||
        known->second.state != MemberState::Alive) {
      continue;
    }
    if (target->started != 0 && known->second.started != target->started) {
      row.finished.push_back(target->instance);
      return true;
    }
    if (!this->FitsLimits(plan.plan, known->second.failure_domain)) {
      continue;
    }
    chosen = target.get();
    if (target->instance != this->self.Value()) {
      break;
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  auto mark = std::make_unique<StopMarkT>();
  mark->instance = chosen->instance;
  mark->started = this->fleet.at(InstanceId(chosen->instance)).started;
  LogEvent("stop_plan_marks")
      .With("plan", plan.plan.name)
      .With("instance", mark->instance);
  row.marked.push_back(std::move(mark));
  return true;
}

void StopPlanner::Advance(PlanState& plan,
                          TimePoint now,
                          AgentActions& actions) {
  if (!plan.row || plan.step != Step::kIdle) {
    return;
  }
  StopRowT next(*plan.row);
  bool changed = false;
  for (auto mark = next.marked.begin(); mark != next.marked.end();) {
    plan.marked_at.try_emplace((*mark)->instance, now);
    if (!this->IsFinished(plan, **mark, now)) {
      ++mark;
      continue;
    }
    next.finished.push_back((*mark)->instance);
    mark = next.marked.erase(mark);
    changed = true;
  }
  if (!changed) {
    changed = this->MarkNext(plan, next);
  }
  if (changed) {
    this->WritePlanRow(plan, std::move(next), now, actions);
  }
}

void StopPlanner::Notify(PlanState& plan,
                         TimePoint now,
                         std::vector<AddressedStopNotice>& notices) const {
  if (!plan.row || now < plan.next_notice) {
    return;
  }
  plan.next_notice = now + kNoticeInterval;
  for (const auto& mark : plan.row->marked) {
    const auto known = this->fleet.find(InstanceId(mark->instance));
    if (known != this->fleet.end() &&
        known->second.state == MemberState::Alive) {
      notices.push_back({known->second.peer_address, plan.plan.name});
    }
  }
}

void StopPlanner::OnNotice(const std::string& plan,
                           TimePoint now,
                           AgentActions& actions) {
  const bool waiting =
      this->notice_read && now - this->notice_read_sent < kOperationTimeout;
  if (this->must_stop || waiting) {
    return;
  }
  this->notice_read = this->operations.Take();
  this->notice_read_sent = now;
  actions.push_back(ReadRow{*this->notice_read, RowKey(plan)});
}

std::vector<std::string> StopPlanner::Status(TimePoint now) const {
  std::vector<std::string> lines;
  if (this->lease.IsHeld(now)) {
    lines.push_back("holds the stop plan lease, fencing token " +
                    std::to_string(this->lease.FencingToken()));
  }
  for (const auto& [name, plan] : this->plans) {
    if (!plan.row || !this->lease.IsHeld(now)) {
      continue;
    }
    lines.push_back("stop plan " + name + ": " +
                    std::to_string(plan.row->marked.size()) + " stopping, " +
                    std::to_string(plan.row->finished.size()) + " of " +
                    std::to_string(plan.row->targets.size()) + " done");
    for (const auto& [instance, since] : plan.marked_at) {
      const bool stopping = Contains(plan.row->marked, instance);
      if (stopping && now - since > plan.plan.finish_within) {
        lines.push_back("stop plan " + name + " is stuck on " + instance);
      }
    }
  }
  return lines;
}

}  // namespace acacia
