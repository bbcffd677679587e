// Prints the time and memory to validate and apply file sets up to the target
// size: 250 services, 26,000 routes, 42,000 accounts, against the platform
// stand-in.
#include <sys/resource.h>

#include <boost/asio.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <string>

#include "src/acaciactl.h"
#include "src/file_set.h"
#include "standin/platform_standin.h"

namespace acacia {
namespace {

namespace net = boost::asio;
using SteadyClock = std::chrono::steady_clock;

constexpr int kServices = 250;

double MillisecondsSince(SteadyClock::time_point start) {
  const std::chrono::duration<double, std::milli> elapsed =
      SteadyClock::now() - start;
  return elapsed.count();
}

double PeakMegabytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

void WriteServices(const std::filesystem::path& folder) {
  std::ofstream out(folder / "services.json");
  out << "{\"services\": [\n";
  for (int i = 0; i < kServices; ++i) {
    out << "{\"name\": \"service-" << i << "\", \"discovery\": \"service-" << i
        << "\", \"slots_per_backend_server\": 5},\n";
  }
  out << "]}\n";
}

void WriteRoutes(const std::filesystem::path& folder, int routes) {
  std::ofstream out(folder / "routes.json");
  out << "{\"routes\": [\n";
  for (int i = 0; i < routes; ++i) {
    out << "{\"name\": \"route-" << i << "\", \"host\": \"service-"
        << i % kServices << ".example\", \"path_prefix\": \"/area-"
        << i / kServices << "\", \"service\": \"service-" << i % kServices
        << "\", \"deadline_ms\": 3000}, // owner\n";
  }
  out << "]}\n";
}

void WriteAccounts(const std::filesystem::path& folder, int accounts) {
  std::ofstream out(folder / "accounts.json");
  out << "{\"accounts\": [\n";
  for (int i = 0; i < accounts; ++i) {
    out << "{\"name\": \"account-" << i
        << "\", \"requests_per_second\": 10},\n";
  }
  out << "]}\n";
}

net::awaitable<void> ApplyAndStop(PlatformClient& client,
                                  PublishRequest request,
                                  net::io_context& context,
                                  bool* accepted) {
  const PublishOutcome outcome = co_await Publish(client, std::move(request));
  *accepted = std::holds_alternative<PublishAccepted>(outcome);
  context.stop();
}

// Applies to the platform stand-in in this process. Returns milliseconds.
double TimeApply(net::io_context& context,
                 const std::string& address,
                 const SystemClock& clock,
                 schema::FileSetT file_set,
                 const std::string& write_id) {
  PlatformClient client(address, clock);
  PublishRequest request;
  request.file_set = std::move(file_set);
  request.write_id = write_id;
  bool accepted = false;
  const auto start = SteadyClock::now();
  net::co_spawn(context,
                ApplyAndStop(client, std::move(request), context, &accepted),
                net::detached);
  context.restart();
  context.run();
  if (!accepted) {
    std::puts("not accepted");
    std::exit(1);
  }
  return MillisecondsSince(start);
}

void Measure(int routes, int accounts) {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("acacia_validate_scale_" + std::to_string(getpid()));
  std::filesystem::create_directory(folder);
  WriteServices(folder);
  WriteRoutes(folder, routes);
  WriteAccounts(folder, accounts);
  const auto start = SteadyClock::now();
  const std::clock_t cpu_start = std::clock();
  auto file_set = ReadFileSet(folder.string());
  const double validate = MillisecondsSince(start);
  const double validate_cpu =
      static_cast<double>(std::clock() - cpu_start) * 1000 / CLOCKS_PER_SEC;
  std::filesystem::remove_all(folder);
  if (!file_set) {
    std::puts(DescribeAll(file_set.error()).c_str());
    std::exit(1);
  }
  net::io_context context(1);
  const SystemClock clock;
  PlatformStandin platform(context.get_executor(), clock, Duration::zero(), 1);
  if (!platform.Listen("127.0.0.1:0")) {
    std::exit(1);
  }
  const std::string address = "127.0.0.1:" + std::to_string(platform.Port());
  schema::FileSetT changed = *file_set;
  changed.routes[0]->deadline_ms = 4000;
  const double first =
      TimeApply(context, address, clock, *std::move(file_set), "a");
  const std::uint64_t first_writes = platform.Counters().writes;
  const double second =
      TimeApply(context, address, clock, std::move(changed), "b");
  const std::uint64_t second_writes = platform.Counters().writes - first_writes;
  std::printf("| %d | %d | %.0f | %.0f | %.0f | %lu | %.0f | %lu | %.0f |\n",
              routes, accounts, validate, validate_cpu, first,
              static_cast<unsigned long>(first_writes), second,
              static_cast<unsigned long>(second_writes), PeakMegabytes());
}

}  // namespace
}  // namespace acacia

int main() {
  std::puts(
      "| routes | accounts | validate ms | of it processor ms | first apply ms "
      "| writes | apply of "
      "one changed route ms | writes | peak MB |");
  std::puts("|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
  acacia::Measure(100, 100);
  acacia::Measure(2600, 4200);
  acacia::Measure(26000, 42000);
  return 0;
}
