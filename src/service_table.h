// The services that this entry dispatches requests for. Each has its own
// Dispatcher, guarded by its own lock. Actions are delivered while the
// service's lock is held, so that every session sees them in the dispatcher's
// order.
//
// Lock order: table, then one service, then the request registry, then a
// session's mailbox. The lock of the request quarantine is taken under one
// service's and is a leaf; the connection pool's is never taken under these.
#ifndef SRC_SERVICE_TABLE_H_
#define SRC_SERVICE_TABLE_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "src/dispatcher.h"
#include "src/request_registry.h"

namespace acacia {

// A service and its dispatcher. Thread-safe.
class DispatchedService
    : public std::enable_shared_from_this<DispatchedService> {
 public:
  DispatchedService(const boost::asio::any_io_executor& executor,
                    RequestRegistry& registry,
                    const Clock& clock,
                    std::unique_ptr<Dispatcher> dispatcher);
  ~DispatchedService();

  using Event =
      std::function<DispatchActions(Dispatcher& dispatcher, TimePoint now)>;

  // Passes one event to the dispatcher and delivers the resulting actions.
  // `running` is the calling session, or null.
  void HandleEvent(const Event& event, const ActionSink* running);

  std::vector<schema::BackendEvidenceT> TakeEvidence();
  std::uint32_t InFlight();
  std::vector<std::string> Explain();

 private:
  struct Timer;
  void ArmTimer(TimePoint due);
  void OnTimer();

  RequestRegistry& registry;
  const Clock& clock;
  std::mutex mutex;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<Timer> timer;
};

using DispatcherFactory =
    std::function<std::unique_ptr<Dispatcher>(const ServiceName&,
                                              const ServiceView&)>;

// Thread-safe.
class ServiceTable {
 public:
  ServiceTable(boost::asio::any_io_executor executor,
               RequestRegistry& registry,
               const Clock& clock,
               DispatcherFactory factory);

  // Adds and updates services and removes those without a view. Requests in
  // flight keep a removed service alive.
  void Apply(const std::map<ServiceName, ServiceView>& views);

  std::shared_ptr<DispatchedService> Find(const ServiceName& service);
  std::map<ServiceName, std::shared_ptr<DispatchedService>> All();

 private:
  boost::asio::any_io_executor executor;
  RequestRegistry& registry;
  const Clock& clock;
  DispatcherFactory factory;
  std::mutex mutex;
  std::map<ServiceName, std::shared_ptr<DispatchedService>> services;
};

}  // namespace acacia

#endif  // SRC_SERVICE_TABLE_H_
