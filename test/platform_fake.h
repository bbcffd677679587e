// A fake platform for the coordination tests: a table and an object store with
// outages, conflicts, lost replies and corruption, and functions that apply
// configurations as an operator does.
#ifndef TEST_PLATFORM_FAKE_H_
#define TEST_PLATFORM_FAKE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/config_publisher.h"
#include "src/platform.h"

namespace acacia {

struct FakePlatform {
  std::map<std::string, Row> rows;
  std::map<ObjectHash, std::string> objects;
  std::map<std::string, std::vector<ListedInstance>> lists;
  bool outage = false;
  bool corrupt_objects = false;
  // How many of the next writes take effect while their replies are lost.
  int lose_replies = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::function<void(const std::string& key, const Row& row)> on_row_written;
  // Fault injection: writes take effect whatever version they expect.
  bool ignore_versions = false;

  RowResult Read(const std::string& key) {
    ++this->reads;
    if (this->outage) {
      return tl::unexpected(PlatformError::kUnavailable);
    }
    return this->rows[key];
  }
  WriteResult Write(const WriteRow& write) {
    ++this->writes;
    if (this->outage) {
      return tl::unexpected(PlatformError::kUnavailable);
    }
    Row& row = this->rows[write.key];
    if (row.version != write.expected && !this->ignore_versions) {
      return tl::unexpected(PlatformError::kConflict);
    }
    row = {write.value, row.version.Next()};
    if (this->on_row_written) {
      this->on_row_written(write.key, row);
    }
    if (this->lose_replies > 0) {
      --this->lose_replies;
      return tl::unexpected(PlatformError::kUnknown);
    }
    return row.version;
  }
  ObjectResult Object(const ObjectHash& hash) {
    ++this->reads;
    if (this->outage) {
      return tl::unexpected(PlatformError::kUnavailable);
    }
    const auto found = this->objects.find(hash);
    if (found == this->objects.end()) {
      return tl::unexpected(PlatformError::kNotFound);
    }
    return this->corrupt_objects ? found->second + "x" : found->second;
  }
  ObjectWriteResult Store(const WriteObject& write) {
    ++this->writes;
    if (this->outage) {
      return tl::unexpected(PlatformError::kUnavailable);
    }
    this->objects[write.hash] = write.body;
    return {};
  }
  InstanceListResult List(const std::string& service) {
    ++this->reads;
    if (this->outage) {
      return tl::unexpected(PlatformError::kUnavailable);
    }
    return this->lists[service];
  }
};

// Carries out one action of a publisher.
inline PublisherActions Carry(FakePlatform& platform,
                              ConfigPublisher& publisher,
                              const PublisherAction& action) {
  if (const auto* read = std::get_if<ReadRow>(&action)) {
    return publisher.OnRowRead(read->operation, platform.Read(read->key));
  }
  if (const auto* write = std::get_if<WriteRow>(&action)) {
    return publisher.OnRowWritten(write->operation, platform.Write(*write));
  }
  if (const auto* object = std::get_if<ReadObject>(&action)) {
    return publisher.OnObjectRead(object->operation,
                                  platform.Object(object->hash));
  }
  const auto& store = std::get<WriteObject>(action);
  return publisher.OnObjectWritten(store.operation, platform.Store(store));
}

// Runs the publisher until it has an outcome, or for at most `steps` actions.
inline void RunPublisher(FakePlatform& platform,
                         ConfigPublisher& publisher,
                         std::deque<PublisherAction>& queue,
                         int steps = 10000) {
  for (; steps > 0 && !queue.empty() && !publisher.Outcome(); --steps) {
    const PublisherAction action = queue.front();
    queue.pop_front();
    for (auto& next : Carry(platform, publisher, action)) {
      queue.push_back(std::move(next));
    }
  }
}

inline PublishOutcome Apply(FakePlatform& platform,
                            const PublishRequest& request) {
  ConfigPublisher publisher(request);
  const auto actions = publisher.Start();
  std::deque<PublisherAction> queue(actions.begin(), actions.end());
  RunPublisher(platform, publisher, queue);
  return *publisher.Outcome();
}

// A small file set: one service with backend servers b0, b1, ... of 5 slots.
inline schema::FileSetT MakeFileSet(int backend_servers,
                                    std::uint32_t floor_percent = 50,
                                    const std::string& account = "x") {
  schema::FileSetT set;
  auto service = std::make_unique<schema::ServiceT>();
  service->name = "kehto";
  service->floor_percent = floor_percent;
  service->slots_per_backend_server = 5;
  for (int i = 0; i < backend_servers; ++i) {
    auto server = std::make_unique<schema::BackendServerT>();
    server->address = "b" + std::to_string(i);
    server->failure_domain = std::string(1, static_cast<char>('a' + i % 3));
    service->backend_servers.push_back(std::move(server));
  }
  set.services.push_back(std::move(service));
  auto entry = std::make_unique<schema::AccountT>();
  entry->name = account;
  set.accounts.push_back(std::move(entry));
  return set;
}

}  // namespace acacia

#endif  // TEST_PLATFORM_FAKE_H_
