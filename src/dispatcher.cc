#include "src/dispatcher.h"

#include <unordered_map>

namespace acacia {

namespace {

struct RequestState {
  Work work;
  AttemptId attempt;
  BackendId backend;
};

}  // namespace

struct Dispatcher::State {
  ServiceView view;
  std::unordered_map<RequestId, RequestState> requests;
  std::map<BackendId, std::uint32_t> in_flight;

  std::optional<BackendId> PickLeastLoaded() const;
  void Release(RequestId request);
};

std::optional<BackendId> Dispatcher::State::PickLeastLoaded() const {
  std::optional<BackendId> best;
  std::uint32_t best_load = 0;
  for (const BackendServer& backend : this->view.backend_servers) {
    if (this->view.ejected.contains(backend.id) ||
        this->view.leaving.contains(backend.id)) {
      continue;
    }
    const auto found = this->in_flight.find(backend.id);
    const std::uint32_t load =
        found == this->in_flight.end() ? 0 : found->second;
    if (load < backend.slots && (!best || load < best_load)) {
      best = backend.id;
      best_load = load;
    }
  }
  return best;
}

void Dispatcher::State::Release(RequestId request) {
  const auto found = this->requests.find(request);
  if (found == this->requests.end()) {
    return;
  }
  --this->in_flight[found->second.backend];
  this->requests.erase(found);
}

Dispatcher::Dispatcher(const ServiceName& /*service*/,
                       const InstanceId& /*self*/,
                       std::unique_ptr<RandomSource> /*random*/,
                       const ServiceView& view,
                       TimePoint /*now*/)
    : state(std::make_unique<State>()) {
  this->state->view = view;
}

Dispatcher::~Dispatcher() = default;

DispatchActions Dispatcher::OnView(const ServiceView& view, TimePoint /*now*/) {
  this->state->view = view;
  return {};
}

DispatchActions Dispatcher::OnRequest(const Work& work, TimePoint /*now*/) {
  const std::optional<BackendId> backend = this->state->PickLeastLoaded();
  if (!backend) {
    return {RefuseRequest{work.request, ErrorKind::kNoBackend}};
  }
  const AttemptId first(1);
  this->state->requests[work.request] = {work, first, *backend};
  ++this->state->in_flight[*backend];
  return {StartAttempt{work.request, first, *backend, !work.idempotent}};
}

DispatchActions Dispatcher::OnAnswerHead(RequestId request,
                                         AttemptId attempt,
                                         int /*http_status*/,
                                         bool /*replayable*/,
                                         TimePoint /*now*/) {
  return {RelayAnswer{request, attempt}};
}

DispatchActions Dispatcher::OnAttemptEnd(const AttemptReport& report,
                                         TimePoint /*now*/) {
  this->state->Release(report.request);
  switch (report.result) {
    case AttemptResult::kSuccess:
    case AttemptResult::kServerError:
    case AttemptResult::kCancelled:
      return {};
    case AttemptResult::kNotSent:
      return {RefuseRequest{report.request, ErrorKind::kConnectFailed}};
    case AttemptResult::kRefused:
      return {RefuseRequest{report.request, ErrorKind::kBackendRefused}};
    case AttemptResult::kBroken:
      return {RefuseRequest{report.request, ErrorKind::kBackendBroken}};
    case AttemptResult::kTimedOut:
      return {RefuseRequest{report.request, ErrorKind::kBackendTimeout}};
    case AttemptResult::kTruncated:
      return {RefuseRequest{report.request, ErrorKind::kTruncatedAnswer}};
    case AttemptResult::kMismatched:
      return {RefuseRequest{report.request, ErrorKind::kWrongAnswer}};
  }
  return {};
}

DispatchActions Dispatcher::OnCallerLeft(RequestId request, TimePoint /*now*/) {
  this->state->Release(request);
  return {};
}

std::optional<TimePoint> Dispatcher::NextTimer() const {
  return std::nullopt;
}

DispatchActions Dispatcher::OnTimer(TimePoint /*now*/) {
  return {};
}

std::vector<schema::BackendEvidenceT> Dispatcher::TakeEvidence(
    TimePoint /*now*/) {
  return {};
}

std::uint32_t Dispatcher::InFlight() const {
  return static_cast<std::uint32_t>(this->state->requests.size());
}

std::vector<std::string> Dispatcher::Explain(TimePoint /*now*/) const {
  return {};
}

}  // namespace acacia
