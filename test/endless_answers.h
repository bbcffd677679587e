// HTTP answers without an end.
#ifndef TEST_ENDLESS_ANSWERS_H_
#define TEST_ENDLESS_ANSWERS_H_

#include <array>
#include <atomic>
#include <limits>
#include <string>

#include "test/proxy_fixture.h"

namespace acacia {

// Thread-safe.
class EndlessAnswers {
 public:
  // Sends an answer without an end, or one far longer than any should be, in
  // one of several forms in turn, until the connection is closed or Stop is
  // called.
  void Send(TextStream& stream) {
    struct Form {
      const char* beginning;
      std::size_t length;
      bool is_chunked = false;
    };
    static constexpr std::size_t kPieceBytes = 64 * 1024;
    static constexpr std::size_t kEndless =
        std::numeric_limits<std::size_t>::max();
    static constexpr std::array<Form, 4> kForms{
        {{"X-Long: ", kEndless},
         {"\r\n{\"ver\":[0", kEndless},
         {"Transfer-Encoding: chunked\r\n\r\n", kEndless, true},
         {"Content-Length: 60000000\r\n\r\n{\"ver\":[0", 60000000}}};
    const Form& form =
        kForms.at(static_cast<std::size_t>(++this->begun) % kForms.size());
    std::string piece;
    while (piece.size() < kPieceBytes) {
      piece += ",0";
    }
    if (form.is_chunked) {
      piece = "10000\r\n" + piece + "\r\n";
    }
    bool is_open =
        stream.Send(std::string("HTTP/1.1 200 OK\r\n") + form.beginning);
    for (std::size_t sent = 0;
         is_open && !this->stopping && sent <= form.length;
         sent += piece.size()) {
      is_open = stream.Send(piece);
    }
    ++this->cut;
  }
  void Stop() { this->stopping = true; }
  // How many answers have been cut off.
  int Cut() const { return this->cut; }

 private:
  std::atomic<bool> stopping{false};
  std::atomic<int> begun{0};
  std::atomic<int> cut{0};
};

}  // namespace acacia

#endif  // TEST_ENDLESS_ANSWERS_H_
