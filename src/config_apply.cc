#include <boost/asio.hpp>
#include <type_traits>
#include <utility>

#include "src/acaciactl.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);

// Carries out a publisher's actions, several at once. Owned by the coroutines
// of the actions, which may still run when Publish has returned the outcome.
struct PublishRun : std::enable_shared_from_this<PublishRun> {
  PublishRun(PlatformClient& platform,
             const PublishRequest& request,
             const PublishPacing& pacing,
             const net::any_io_executor& executor)
      : platform(platform), publisher(request), pacing(pacing), done(executor) {
    this->done.expires_at(net::steady_timer::time_point::max());
  }

  PlatformClient& platform;
  ConfigPublisher publisher;
  PublishPacing pacing;
  net::steady_timer done;
  std::size_t pending = 0;

  void CarryOut(PublisherActions actions);
  net::awaitable<void> CarryOutAction(PublisherAction action);
  template <typename Result>
  net::awaitable<void> DelayAfterFailure(const Result& result);

  net::awaitable<PublisherActions> Perform(ReadRow action);
  net::awaitable<PublisherActions> Perform(WriteRow action);
  net::awaitable<PublisherActions> Perform(ReadObject action);
  net::awaitable<PublisherActions> Perform(WriteObject action);
};

void PublishRun::CarryOut(PublisherActions actions) {
  for (PublisherAction& action : actions) {
    ++this->pending;
    net::co_spawn(
        this->done.get_executor(),
        [](std::shared_ptr<PublishRun> self,
           PublisherAction action) -> net::awaitable<void> {
          co_await self->CarryOutAction(std::move(action));
        }(this->shared_from_this(), std::move(action)),
        net::detached);
  }
}

net::awaitable<void> PublishRun::CarryOutAction(PublisherAction action) {
  PublisherActions next;
  if (auto* read_row = std::get_if<ReadRow>(&action)) {
    next = co_await this->Perform(std::move(*read_row));
  } else if (auto* write_row = std::get_if<WriteRow>(&action)) {
    next = co_await this->Perform(std::move(*write_row));
  } else if (auto* read_object = std::get_if<ReadObject>(&action)) {
    next = co_await this->Perform(std::move(*read_object));
  } else if (auto* write_object = std::get_if<WriteObject>(&action)) {
    next = co_await this->Perform(std::move(*write_object));
  }
  this->CarryOut(std::move(next));
  if (--this->pending == 0) {
    this->done.cancel();
  }
}

// Delays the next try after a failed request, to relieve the platform. Returns
// at once after a success, a conflict or a missing object, which are answers.
template <typename Result>
net::awaitable<void> PublishRun::DelayAfterFailure(const Result& result) {
  if (result || result.error() == PlatformError::kConflict ||
      result.error() == PlatformError::kNotFound) {
    co_return;
  }
  net::steady_timer timer(this->done.get_executor());
  timer.expires_after(this->pacing.first_delay);
  this->pacing.first_delay =
      std::min(this->pacing.first_delay * 2, this->pacing.max_delay);
  co_await timer.async_wait(kAwait);
}

net::awaitable<PublisherActions> PublishRun::Perform(ReadRow action) {
  const RowResult result = co_await this->platform.ReadRow(action.key);
  co_await this->DelayAfterFailure(result);
  co_return this->publisher.OnRowRead(action.operation, result);
}

net::awaitable<PublisherActions> PublishRun::Perform(WriteRow action) {
  const WriteResult result = co_await this->platform.WriteRow(
      action.key, action.expected, action.value);
  co_await this->DelayAfterFailure(result);
  co_return this->publisher.OnRowWritten(action.operation, result);
}

net::awaitable<PublisherActions> PublishRun::Perform(ReadObject action) {
  const ObjectResult result = co_await this->platform.ReadObject(action.hash);
  co_await this->DelayAfterFailure(result);
  co_return this->publisher.OnObjectRead(action.operation, result);
}

net::awaitable<PublisherActions> PublishRun::Perform(WriteObject action) {
  const ObjectWriteResult result =
      co_await this->platform.WriteObject(action.hash, action.body);
  co_await this->DelayAfterFailure(result);
  co_return this->publisher.OnObjectWritten(action.operation, result);
}

}  // namespace

net::awaitable<PublishOutcome> Publish(PlatformClient& platform,
                                       PublishRequest request,
                                       PublishPacing pacing) {
  const auto executor = co_await net::this_coro::executor;
  const auto run =
      std::make_shared<PublishRun>(platform, request, pacing, executor);
  run->CarryOut(run->publisher.Start());
  if (run->pending > 0) {
    co_await run->done.async_wait(kAwait);
  }
  co_return run->publisher.Outcome().value_or(PublishUnknown{});
}

}  // namespace acacia
