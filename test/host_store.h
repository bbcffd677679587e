// Stands in for the host platform's store in tests.
#ifndef TEST_HOST_STORE_H_
#define TEST_HOST_STORE_H_

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <regex>
#include <string>

#include "src/base64.h"
#include "test/proxy_fixture.h"

namespace acacia {

// The host platform's store: rows, a feed of changes, transactions, and its
// troubles. Thread-safe.
class HostStore {
 public:
  enum class Trouble { kNone, kAway, kSlow, kGarbled, kSilent };

  HostStore() : listener([this](TextStream& stream) { this->Serve(stream); }) {}
  ~HostStore() {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  HostStore(const HostStore&) = delete;
  HostStore& operator=(const HostStore&) = delete;

  std::string Address() const { return this->listener.Address(); }
  void SetTrouble(Trouble kind) {
    const std::lock_guard lock(this->mutex);
    this->trouble = kind;
    this->changed.notify_all();
  }
  // From now on a connection on which a row was written gets no more answers.
  void SilenceWriters() { this->silences_writers = true; }
  bool HasRemovedRow() const { return this->has_removed_row; }
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(this->mutex);
    this->Write(table, key, EncodeBase64(value), false);
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(this->mutex);
    this->Write(table, key, "", true);
  }

 private:
  struct Row {
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
  };
  using Table = std::map<std::string, Row>;

  void Write(const std::string& table,
             const std::string& key,
             const std::string& value,
             bool removed) {
    this->tables[table][key] = {value, ++this->version, removed};
    this->changed.notify_all();
  }

  static std::string Parameter(const std::string& request,
                               const std::string& name) {
    std::smatch match;
    const std::regex pattern("[?&]" + name + "=([^& ]*)");
    return std::regex_search(request, match, pattern) ? match[1].str() : "";
  }

  std::string Rows(const std::string& table, std::int64_t after, bool removed) {
    boost::json::array rows;
    for (const auto& [key, row] : this->tables[table]) {
      if (row.version <= after || (row.removed && !removed)) {
        continue;
      }
      boost::json::object item{{"table", table},
                               {"part", ""},
                               {"key", key},
                               {"ver", row.version},
                               {"value", row.value}};
      if (row.removed) {
        item["tombstone"] = true;
      }
      rows.push_back(std::move(item));
    }
    return boost::json::serialize(boost::json::object{{"ver", this->version},
                                                      {"nowS", 1},
                                                      {"hasMore", false},
                                                      {"rows", rows}});
  }

  bool HasNews(const std::string& table, std::int64_t after) {
    const Table& rows = this->tables[table];
    return std::any_of(rows.begin(), rows.end(), [after](const auto& row) {
      return row.second.version > after;
    });
  }

  std::string Transact(const std::string& body) {
    const boost::json::value call = boost::json::parse(body);
    const auto text = [](const boost::json::value& row, const char* name) {
      return std::string(row.at(name).as_string());
    };
    for (const auto& row : call.at("expectedRev").as_array()) {
      const Row& held = this->tables[text(row, "table")][text(row, "key")];
      if ((held.removed ? 0 : held.version) !=
          row.at("ver").to_number<std::int64_t>()) {
        return "HTTP/1.1 412 Conflict\r\nContent-Length: 2\r\n\r\n{}";
      }
    }
    for (const auto& row : call.at("putRows").as_array()) {
      this->Write(text(row, "table"), text(row, "key"), text(row, "value"),
                  false);
    }
    for (const auto& row : call.at("remove").as_array()) {
      this->has_removed_row = true;
      this->Write(text(row, "table"), text(row, "key"), "", true);
    }
    return Ok(this->Rows("", 0, false));
  }

  std::string Answer(const std::string& request) {
    std::unique_lock lock(this->mutex);
    const std::string table = Parameter(request, "table");
    if (request.find("/rows-tx") != std::string::npos) {
      return this->Transact(BodyOf(request));
    }
    if (request.find("/rows-feed") == std::string::npos) {
      return Ok(this->Rows(table, 0, false));
    }
    const std::int64_t after = std::stoll(Parameter(request, "after"));
    const std::chrono::milliseconds wait(
        std::stoll(Parameter(request, "waitMs")));
    this->changed.wait_for(lock, wait, [&] {
      return this->stopping || this->trouble == Trouble::kAway ||
             this->HasNews(table, after);
    });
    return Ok(this->Rows(table, after, true));
  }

  // Returns false if the connection ends.
  bool PlayTrouble(TextStream& stream) {
    std::unique_lock lock(this->mutex);
    switch (this->trouble) {
      case Trouble::kNone:
        return true;
      case Trouble::kAway:
        return false;
      case Trouble::kSlow:
        this->changed.wait_for(lock, std::chrono::milliseconds(1200),
                               [this] { return this->stopping; });
        return true;
      case Trouble::kGarbled:
        stream.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"ver\": -");
        return false;
      case Trouble::kSilent:
        this->changed.wait(lock, [this] {
          return this->stopping || this->trouble != Trouble::kSilent;
        });
        return false;
    }
    return false;
  }

  void Serve(TextStream& stream) {
    bool is_writer = false;
    for (std::string request = stream.ReadMessage(); !request.empty();
         request = stream.ReadMessage()) {
      if (is_writer && this->silences_writers) {
        continue;
      }
      is_writer = is_writer || request.find("/rows-tx") != std::string::npos;
      if (!this->PlayTrouble(stream) || !stream.Send(this->Answer(request)) ||
          !this->PlayTrouble(stream)) {
        return;
      }
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  Trouble trouble = Trouble::kNone;
  bool stopping = false;
  std::atomic<bool> silences_writers{false};
  std::atomic<bool> has_removed_row{false};
  std::int64_t version = 1;
  std::map<std::string, Table> tables;
  ThreadedListener listener;
};

}  // namespace acacia

#endif  // TEST_HOST_STORE_H_
