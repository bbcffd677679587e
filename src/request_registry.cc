#include "src/request_registry.h"

#include <utility>

namespace acacia {

RequestId RequestIdOf(const DispatchAction& action) {
  return std::visit([](const auto& each) { return each.request; }, action);
}

RequestRegistry::Shard& RequestRegistry::ShardOf(RequestId request) {
  return this->shards[request.Value() % kShardCount];
}

void RequestRegistry::Add(RequestId request, std::weak_ptr<ActionSink> sink) {
  Shard& shard = this->ShardOf(request);
  const std::lock_guard lock(shard.mutex);
  shard.sinks[request] = std::move(sink);
}

void RequestRegistry::Remove(RequestId request) {
  Shard& shard = this->ShardOf(request);
  const std::lock_guard lock(shard.mutex);
  shard.sinks.erase(request);
}

std::shared_ptr<ActionSink> RequestRegistry::Find(RequestId request) {
  Shard& shard = this->ShardOf(request);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.sinks.find(request);
  return found == shard.sinks.end() ? nullptr : found->second.lock();
}

void RequestRegistry::Deliver(const DispatchActions& actions,
                              const ActionSink* current) {
  for (const DispatchAction& action : actions) {
    const std::shared_ptr<ActionSink> sink = this->Find(RequestIdOf(action));
    if (!sink) {
      continue;
    }
    sink->Push(action);
    if (sink.get() != current) {
      sink->Wake();
    }
  }
}

}  // namespace acacia
