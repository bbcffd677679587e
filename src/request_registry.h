// Delivers a dispatcher's actions to the sessions that they are for. One event
// may cause actions for other requests, which run on other threads. Each
// session takes its actions from a mailbox on its own strand, in the order in
// which the dispatcher returned them.
#ifndef SRC_REQUEST_REGISTRY_H_
#define SRC_REQUEST_REGISTRY_H_

#include <array>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "src/dispatcher.h"
#include "src/ids.h"

namespace acacia {

// Receives the actions for its requests. Push is called on any thread under the
// service's lock and must neither block nor call back.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  virtual void Push(const DispatchAction& action) = 0;
  // Schedules the sink to handle the pushed actions on its own strand.
  virtual void Wake() = 0;
};

RequestId RequestIdOf(const DispatchAction& action);

// Thread-safe.
class RequestRegistry {
 public:
  void Add(RequestId request, std::weak_ptr<ActionSink> sink);
  void Remove(RequestId request);

  // Pushes each action to its session and wakes every session but `current`,
  // which handles its own actions after this call returns. Actions for requests
  // that no longer exist are dropped: the dispatcher has been told that their
  // callers left.
  void Deliver(const DispatchActions& actions, const ActionSink* current);

 private:
  static constexpr std::size_t kShardCount = 16;
  struct Shard {
    std::mutex mutex;
    std::unordered_map<RequestId, std::weak_ptr<ActionSink>> sinks;
  };

  Shard& ShardOf(RequestId request);
  std::shared_ptr<ActionSink> Find(RequestId request);

  std::array<Shard, kShardCount> shards;
};

}  // namespace acacia

#endif  // SRC_REQUEST_REGISTRY_H_
