// A minimal caller: looks up the entries of a service, chooses one by weight,
// sends one request, and tries another entry when the answer says that the
// request was not run.
//
// Usage: caller-client ENTRY SERVICE PATH      (ENTRY is "ip:port")
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <string>
#include <vector>

#include "src/http_client.h"
#include "src/random_source.h"

namespace {

using acacia::HttpClient;
using acacia::HttpReply;
using acacia::HttpRequest;

constexpr std::chrono::seconds kTimeout{10};

struct Candidate {
  std::string address;
  std::uint64_t weight = 1;
};

std::vector<Candidate> ParseLookup(const std::string& body) {
  std::vector<Candidate> candidates;
  const boost::json::value answer = boost::json::parse(body);
  for (const auto& entry : answer.at("entries").as_array()) {
    candidates.push_back(
        {boost::json::value_to<std::string>(entry.at("address")),
         entry.at("weight").to_number<std::uint64_t>()});
  }
  return candidates;
}

// Removes and returns a random candidate, chosen in proportion to the weights.
Candidate TakeByWeight(std::vector<Candidate>& candidates,
                       acacia::RandomSource& random) {
  std::uint64_t total = 0;
  for (const Candidate& candidate : candidates) {
    total += candidate.weight;
  }
  std::uint64_t at = random.Below(total);
  std::size_t index = 0;
  while (at >= candidates[index].weight) {
    at -= candidates[index].weight;
    ++index;
  }
  const Candidate taken = candidates[index];
  candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
  return taken;
}

// True when the request was not run and may be sent to another entry.
bool WasNotRun(const HttpReply& reply) {
  const auto outcome = reply.headers.find("acacia-outcome");
  return outcome != reply.headers.end() && outcome->second == "not-run";
}

boost::asio::awaitable<void> SendThroughFleet(std::string entry,
                                              std::string service,
                                              std::string path) {
  HttpClient directory(entry);
  HttpRequest lookup;
  lookup.target = "/.acacia/lookup?service=" + service;
  const auto found = co_await directory.Send(std::move(lookup), kTimeout);
  if (!found || found->status != 200) {
    std::cerr << "lookup failed\n";
    co_return;
  }
  std::vector<Candidate> candidates = ParseLookup(found->body);
  acacia::SeededRandom random(acacia::DrawSeed());
  while (!candidates.empty()) {
    HttpClient client(TakeByWeight(candidates, random).address);
    HttpRequest request;
    request.target = path;
    const auto reply = co_await client.Send(std::move(request), kTimeout);
    if (reply && !WasNotRun(*reply)) {
      std::cout << reply->status << "\n" << reply->body;
      co_return;
    }
    // This request is a GET, so it may be sent again even when no answer came.
  }
  std::cerr << "no entry could serve the request\n";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: caller-client ENTRY SERVICE PATH\n";
    return 2;
  }
  boost::asio::io_context context;
  boost::asio::co_spawn(context, SendThroughFleet(argv[1], argv[2], argv[3]),
                        boost::asio::detached);
  context.run();
  return 0;
}
