#include "src/service_table.h"

#include <boost/asio.hpp>
#include <optional>
#include <utility>

namespace acacia {

namespace net = boost::asio;

// Guarded by the service's lock.
struct DispatchedService::Timer {
  explicit Timer(const net::any_io_executor& executor) : timer(executor) {}

  net::steady_timer timer;
  std::optional<TimePoint> armed_for;
};

DispatchedService::DispatchedService(const net::any_io_executor& executor,
                                     RequestRegistry& registry,
                                     const Clock& clock,
                                     std::unique_ptr<Dispatcher> dispatcher)
    : registry(registry),
      clock(clock),
      dispatcher(std::move(dispatcher)),
      timer(std::make_unique<Timer>(executor)) {}

DispatchedService::~DispatchedService() = default;

void DispatchedService::HandleEvent(const Event& event,
                                    const ActionSink* running) {
  const std::lock_guard lock(this->mutex);
  const DispatchActions actions = event(*this->dispatcher, this->clock.Now());
  this->registry.Deliver(actions, running);
  const std::optional<TimePoint> due = this->dispatcher->NextTimer();
  if (due && (!this->timer->armed_for || *due < *this->timer->armed_for)) {
    this->ArmTimer(*due);
  }
}

// The timer stays armed for the earliest time requested. When it expires with
// nothing due, it is armed again. So most requests do not touch the timer.
void DispatchedService::ArmTimer(TimePoint due) {
  this->timer->armed_for = due;
  this->timer->timer.expires_at(due);
  this->timer->timer.async_wait(
      [weak = this->weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error) {
          self->OnTimer();
        }
      });
}

void DispatchedService::OnTimer() {
  this->HandleEvent(
      [this](Dispatcher& dispatcher, TimePoint now) {
        // The service's lock is held here.
        this->timer->armed_for.reset();
        const std::optional<TimePoint> due = dispatcher.NextTimer();
        return due && *due <= now ? dispatcher.OnTimer(now) : DispatchActions();
      },
      nullptr);
}

std::vector<schema::BackendEvidenceT> DispatchedService::TakeEvidence() {
  const std::lock_guard lock(this->mutex);
  return this->dispatcher->TakeEvidence(this->clock.Now());
}

std::uint32_t DispatchedService::InFlight() {
  const std::lock_guard lock(this->mutex);
  return this->dispatcher->InFlight();
}

std::vector<std::string> DispatchedService::Explain() {
  const std::lock_guard lock(this->mutex);
  return this->dispatcher->Explain(this->clock.Now());
}

ServiceTable::ServiceTable(net::any_io_executor executor,
                           RequestRegistry& registry,
                           const Clock& clock,
                           DispatcherFactory factory)
    : executor(std::move(executor)),
      registry(registry),
      clock(clock),
      factory(std::move(factory)) {}

void ServiceTable::Apply(const std::map<ServiceName, ServiceView>& views) {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->services, [&](const auto& each) {
    const bool is_removed = !views.contains(each.first);
    if (is_removed) {
      // Requests that are still arriving keep the service.
      each.second->HandleEvent(
          [](Dispatcher& dispatcher, TimePoint now) {
            return dispatcher.OnServiceRemoved(now);
          },
          nullptr);
    }
    return is_removed;
  });
  for (const auto& each : views) {
    const ServiceName& name = each.first;
    const ServiceView& view = each.second;
    std::shared_ptr<DispatchedService>& service = this->services[name];
    if (!service) {
      service = std::make_shared<DispatchedService>(this->executor,
                                                    this->registry, this->clock,
                                                    this->factory(name, view));
      continue;
    }
    service->HandleEvent(
        [&](Dispatcher& dispatcher, TimePoint now) {
          return dispatcher.OnView(view, now);
        },
        nullptr);
  }
}

std::shared_ptr<DispatchedService> ServiceTable::Find(
    const ServiceName& service) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : found->second;
}

std::map<ServiceName, std::shared_ptr<DispatchedService>> ServiceTable::All() {
  const std::lock_guard lock(this->mutex);
  return this->services;
}

}  // namespace acacia
