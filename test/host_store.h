// Stands in for the host platform's store in tests.
#ifndef TEST_HOST_STORE_H_
#define TEST_HOST_STORE_H_

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <regex>
#include <string>
#include <utility>
#include <vector>

#include "src/base64.h"
#include "test/endless_answers.h"
#include "test/proxy_fixture.h"

namespace acacia {

// The host platform's store: rows, a feed of changes, transactions, and its
// troubles. Thread-safe.
class HostStore {
 public:
  enum class Trouble {
    kNone,
    // Connections are closed.
    kAway,
    kSlow,
    kGarbled,
    // Answers go on until the connection is closed.
    kEndless,
    // Answers are lost, and their connections carry nothing for good.
    kSilent,
    // Three answers in ten are lost so.
    kLossy,
    // Polls hear nothing; when this ends, the history is dropped and their
    // connections are closed.
    kDeaf,
    // Whole readings show the rows of kStaleness before.
    kStale,
  };
  static constexpr std::chrono::milliseconds kStaleness{5500};

 private:
  struct Row {
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
  };
  using Table = std::map<std::string, Row>;

 public:
  // All rows at one moment.
  struct Copy {
    std::int64_t version = 1;
    std::map<std::string, Table> tables;
  };

  HostStore() : listener([this](TextStream& stream) { this->Serve(stream); }) {}
  ~HostStore() {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->endless_answers.Stop();
    this->changed.notify_all();
  }
  HostStore(const HostStore&) = delete;
  HostStore& operator=(const HostStore&) = delete;

  std::string Address() const { return this->listener.Address(); }
  void SetTrouble(Trouble kind) {
    const std::lock_guard lock(this->mutex);
    if (this->trouble == Trouble::kDeaf) {
      this->history_start = this->now.version;
    }
    this->trouble = kind;
    this->changed.notify_all();
  }
  Copy Now() const {
    const std::lock_guard lock(this->mutex);
    return this->now;
  }
  // The store comes back from a copy: what was written since is gone, and its
  // versions are given out again.
  void Restore(Copy copy) {
    const std::lock_guard lock(this->mutex);
    this->now = std::move(copy);
    this->history_start = this->now.version;
    this->past.clear();
    ++this->era;
    this->changed.notify_all();
  }
  // From now on a connection on which a row was written gets no more answers.
  void SilenceWriters() { this->silences_writers = true; }
  // How many endless answers have been cut off.
  int CutAnswers() const { return this->endless_answers.Cut(); }
  bool HasRemovedRow() const { return this->has_removed_row; }
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(this->mutex);
    this->Write(table, key, EncodeBase64(value), false);
  }
  std::vector<std::string> Keys(const std::string& table) const {
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> keys;
    for (const auto& [key, row] : TableIn(this->now, table)) {
      if (!row.removed) {
        keys.push_back(key);
      }
    }
    return keys;
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(this->mutex);
    this->Write(table, key, "", true);
  }

 private:
  using Clock = std::chrono::steady_clock;

  void Write(const std::string& table,
             const std::string& key,
             const std::string& value,
             bool removed) {
    const auto time = Clock::now();
    this->past.emplace_back(time, this->now);
    while (this->past.size() > 1 &&
           this->past[1].first < time - 2 * kStaleness) {
      this->past.pop_front();
    }
    this->now.tables[table][key] = {value, ++this->now.version, removed};
    this->changed.notify_all();
  }

  static std::string Parameter(const std::string& request,
                               const std::string& name) {
    std::smatch match;
    const std::regex pattern("[?&]" + name + "=([^& ]*)");
    return std::regex_search(request, match, pattern) ? match[1].str() : "";
  }

  static const Table& TableIn(const Copy& copy, const std::string& table) {
    static const Table empty;
    const auto found = copy.tables.find(table);
    return found == copy.tables.end() ? empty : found->second;
  }

  // The rows that whole readings show.
  const Copy& Readable() const {
    if (this->trouble == Trouble::kStale) {
      const auto time = Clock::now() - kStaleness;
      for (const auto& [until, copy] : this->past) {
        if (until > time) {
          return copy;
        }
      }
    }
    return this->now;
  }

  std::string Reply(const std::string& status, const std::string& body) const {
    return "HTTP/1.1 " + status +
           "\r\nStore-Era: " + std::to_string(this->era) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  static std::string Rows(const Copy& copy,
                          const std::string& table,
                          std::int64_t after,
                          bool removed) {
    boost::json::array rows;
    for (const auto& [key, row] : TableIn(copy, table)) {
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
    return boost::json::serialize(boost::json::object{{"ver", copy.version},
                                                      {"nowS", 1},
                                                      {"hasMore", false},
                                                      {"rows", rows}});
  }

  bool HasNews(const std::string& table, std::int64_t after) const {
    const Table& rows = TableIn(this->now, table);
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
      const Row& held = this->now.tables[text(row, "table")][text(row, "key")];
      if ((held.removed ? 0 : held.version) !=
          row.at("ver").to_number<std::int64_t>()) {
        return this->Reply("412 Conflict", "{}");
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
    return this->Reply("200 OK", Rows(this->now, "", 0, false));
  }

  // Empty if the connection ends.
  std::string Answer(const std::string& request) {
    std::unique_lock lock(this->mutex);
    const std::string table = Parameter(request, "table");
    if (request.find("/rows-tx") != std::string::npos) {
      return this->Transact(BodyOf(request));
    }
    if (request.find("/rows-feed") == std::string::npos) {
      return this->Reply("200 OK", Rows(this->Readable(), table, 0, false));
    }
    const std::int64_t after = std::stoll(Parameter(request, "after"));
    const int asked_in = this->era;
    const std::chrono::milliseconds wait(
        std::stoll(Parameter(request, "waitMs")));
    const auto is_gone = [&] {
      return after < this->history_start || after > this->now.version;
    };
    this->changed.wait_for(lock, wait, [&] {
      return this->stopping || this->trouble == Trouble::kAway ||
             this->trouble == Trouble::kDeaf || this->era != asked_in ||
             is_gone() || this->HasNews(table, after);
    });
    if (this->trouble == Trouble::kDeaf) {
      this->changed.wait(lock, [this] {
        return this->stopping || this->trouble != Trouble::kDeaf;
      });
      return "";
    }
    return is_gone()
               ? this->Reply("410 Gone", "{}")
               : this->Reply("200 OK", Rows(this->now, table, after, true));
  }

  // Whether the answer that is due is lost.
  bool LosesAnswer() {
    const std::lock_guard lock(this->mutex);
    return this->trouble == Trouble::kSilent ||
           (this->trouble == Trouble::kLossy && ++this->answers % 10 < 3);
  }

  // Returns false if the connection ends.
  bool PlayTrouble(TextStream& stream) {
    std::unique_lock lock(this->mutex);
    switch (this->trouble) {
      case Trouble::kNone:
      case Trouble::kSilent:
      case Trouble::kLossy:
      case Trouble::kDeaf:
      case Trouble::kStale:
        return true;
      case Trouble::kAway:
        return false;
      case Trouble::kSlow:
        this->changed.wait_for(lock, std::chrono::milliseconds(1200),
                               [this] { return this->stopping; });
        return true;
      case Trouble::kEndless:
        lock.unlock();
        this->endless_answers.Send(stream);
        return false;
      case Trouble::kGarbled:
        stream.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"ver\": -");
        return false;
    }
    return false;
  }

  void Serve(TextStream& stream) {
    bool is_writer = false;
    bool is_silent = false;
    for (std::string request = stream.ReadMessage(); !request.empty();
         request = stream.ReadMessage()) {
      if (is_silent || (is_writer && this->silences_writers)) {
        continue;
      }
      is_writer = is_writer || request.find("/rows-tx") != std::string::npos;
      if (!this->PlayTrouble(stream)) {
        return;
      }
      const std::string answer = this->Answer(request);
      is_silent = this->LosesAnswer();
      if (!is_silent && (answer.empty() || !stream.Send(answer) ||
                         !this->PlayTrouble(stream))) {
        return;
      }
    }
  }

  mutable std::mutex mutex;
  std::condition_variable changed;
  Trouble trouble = Trouble::kNone;
  bool stopping = false;
  EndlessAnswers endless_answers;
  std::atomic<bool> silences_writers{false};
  std::atomic<bool> has_removed_row{false};
  Copy now;
  int era = 0;
  int answers = 0;
  // Feeds go back to this version.
  std::int64_t history_start = 0;
  // What was replaced, with the time until which it was in force.
  std::deque<std::pair<Clock::time_point, Copy>> past;
  ThreadedListener listener;
};

}  // namespace acacia

#endif  // TEST_HOST_STORE_H_
