// The stored state of the platform stand-in: rows changed by compare-and-set,
// immutable objects, and an instance list in which each change becomes visible
// only after a lag. No I/O; time is passed in.
#ifndef STANDIN_PLATFORM_STORE_H_
#define STANDIN_PLATFORM_STORE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/platform.h"

namespace acacia {

// A change to the instance list, as an instance or its deployer makes it.
struct InstanceChange {
  std::string service;
  std::string address;
  // Empty when the instance is removed.
  std::optional<ListedInstance> instance;
};

struct InstanceList {
  std::vector<ListedInstance> instances;
  // Changes whenever the visible list of the service does.
  std::uint64_t version = 0;
};

class PlatformStore {
 public:
  explicit PlatformStore(Duration list_lag) : list_lag(list_lag) {}

  // A row that does not exist has version 0 and an empty value.
  Row ReadRow(const std::string& key) const;
  // Error: kConflict when the row's version is not `expected`.
  WriteResult WriteRow(const std::string& key,
                       RowVersion expected,
                       std::string value);

  // Null when there is no such object.
  const std::string* FindObject(const std::string& hash) const;
  void WriteObject(const std::string& hash, std::string body);

  // Records a change, visible in List after the lag.
  void Change(InstanceChange change, TimePoint now);
  InstanceList List(const std::string& service, TimePoint now);

 private:
  struct PendingChange {
    TimePoint visible_at;
    InstanceChange change;
  };
  struct VisibleService {
    std::map<std::string, ListedInstance> by_address;
    std::uint64_t version = 0;
  };

  void MakeVisible(const InstanceChange& change);

  Duration list_lag;
  std::map<std::string, Row> rows;
  std::map<std::string, std::string> objects;
  std::deque<PendingChange> pending;
  std::map<std::string, VisibleService> visible;
};

}  // namespace acacia

#endif  // STANDIN_PLATFORM_STORE_H_
