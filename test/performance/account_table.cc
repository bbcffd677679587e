// Prints what client accounts cost an entry: the time to decode a configuration
// with them, the memory that they hold, and the time of one lookup.
#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

#include "platform/account_decoder.h"
#include "platform/configuration_decoder.h"

namespace acacia {
namespace {

constexpr int kKeysPerAccount = 2;
constexpr int kLookups = 1000000;

std::string KeyOf(int account, int key) {
  return "key-" + std::to_string(account * kKeysPerAccount + key) +
         "-0123456789abcdef";
}

std::string MakeText(int accounts) {
  std::string text = R"({"version":"r1","resources":[)";
  for (int i = 0; i < accounts; ++i) {
    text += i == 0 ? "" : ",";
    text += R"({"resourceKind":"tenants","metadata":{"name":"account-)" +
            std::to_string(i) + R"("},"spec":{"apiKeys":[")" + KeyOf(i, 0) +
            R"(",")" + KeyOf(i, 1) +
            R"("],"priority":1,"ratePerS":12.5,"burst":30}})";
  }
  return text + "]}";
}

// Processor time, which other processes on the machine do not lengthen much.
double MillisecondsSince(std::clock_t start) {
  constexpr double kMillisecondsPerSecond = 1000;
  return static_cast<double>(std::clock() - start) * kMillisecondsPerSecond /
         CLOCKS_PER_SEC;
}

// Nanoseconds per lookup; exits if a result is wrong.
double MeasureLookups(const AccountTable& table, int accounts, bool known) {
  std::vector<std::string> keys;
  for (int i = 0; i < accounts; ++i) {
    keys.push_back(KeyOf(i, i % kKeysPerAccount) + (known ? "" : "x"));
  }
  const auto start = std::clock();
  for (int i = 0; i < kLookups; ++i) {
    // A stride that visits the accounts in no order of their memory.
    const std::size_t at = static_cast<std::size_t>(i) * 7919 % keys.size();
    if ((table.Find(keys[at]) != nullptr) != known) {
      std::puts("wrong result");
      std::exit(1);
    }
  }
  return MillisecondsSince(start) * 1e6 / kLookups;
}

void Measure(int accounts) {
  const std::string text = MakeText(accounts);
  malloc_trim(0);
  const std::size_t before = mallinfo2().uordblks;
  const auto start = std::clock();
  const auto read = platform::DecodeConfiguration(text, {});
  const double decode_ms = MillisecondsSince(start);
  const std::size_t held = mallinfo2().uordblks - before;
  if (!read) {
    std::puts(read.error().c_str());
    std::exit(1);
  }
  const AccountTable& table = *read->keyed_accounts;
  const auto hide_start = std::clock();
  const std::string hidden = platform::HideKeys(text);
  const double hide_ms = MillisecondsSince(hide_start);
  std::printf("%8d %10zu %10zu %10.1f %8.1f %10zu %9zu %8.0f %8.0f\n", accounts,
              text.size(), hidden.size(), decode_ms, hide_ms, held,
              held / static_cast<std::size_t>(accounts),
              MeasureLookups(table, accounts, true),
              MeasureLookups(table, accounts, false));
}

}  // namespace
}  // namespace acacia

int main() {
  std::puts(
      "accounts     text B   hidden B  decode ms  hide ms     held B B/account "
      " known ns unkn. ns");
  for (const int accounts : {77, 4200, 42000}) {
    acacia::Measure(accounts);
  }
}
