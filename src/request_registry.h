// Finds the session that a dispatcher's action is for. One event on a service
// may bring actions for other requests, which run on other threads; each
// session takes its actions from a mailbox on its own strand, in the order in
// which the dispatcher gave them.
#ifndef SRC_REQUEST_REGISTRY_H_
#define SRC_REQUEST_REGISTRY_H_

#include <array>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "src/dispatcher.h"
#include "src/ids.h"

namespace acacia {

// Receives the actions of its requests. Push is called from any thread under
// the service's lock and must neither block nor call back.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  virtual void Push(const DispatchAction& action) = 0;
  // Asks the sink to handle what was pushed, later and on its own strand.
  virtual void Wake() = 0;
};

RequestId RequestOf(const DispatchAction& action);

// Thread-safe.
class RequestRegistry {
 public:
  void Add(RequestId request, std::weak_ptr<ActionSink> sink);
  void Remove(RequestId request);

  // Pushes each action to its session and wakes all sessions but `running`,
  // which handles its own actions when the call returns. Actions for requests
  // that are gone are dropped: the dispatcher has been told that they left.
  void Deliver(const DispatchActions& actions, const ActionSink* running);

 private:
  static constexpr std::size_t kShards = 16;
  struct Shard {
    std::mutex mutex;
    std::unordered_map<RequestId, std::weak_ptr<ActionSink>> sinks;
  };

  Shard& ShardOf(RequestId request);
  std::shared_ptr<ActionSink> Find(RequestId request);

  std::array<Shard, kShards> shards;
};

}  // namespace acacia

#endif  // SRC_REQUEST_REGISTRY_H_
