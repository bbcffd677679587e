#include "src/log_writer.h"

#include <catch2/catch.hpp>

namespace acacia {
namespace {

TEST_CASE("lines are written in order, in batches") {
  std::string out;
  LogWriter writer([&](std::string_view bytes) {
    out += bytes;
    return bytes.size();
  });
  writer.Write("a", false);
  writer.Write("b", true);
  writer.Flush();
  CHECK(out == "a\nb\n");
}

TEST_CASE(
    "without a reader, lines are dropped and counted, important ones last") {
  bool reads = false;
  std::string out;
  LogWriter writer([&](std::string_view bytes) -> std::size_t {
    if (!reads) {
      return 0;
    }
    out += bytes;
    return bytes.size();
  });
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    writer.Write(line, false);
  }
  const std::uint64_t dropped = writer.Dropped();
  CHECK(dropped > 700);
  writer.Write("failure", true);
  CHECK(writer.Dropped() == dropped);
  reads = true;
  writer.Flush();
  CHECK(out.find("failure\n") != std::string::npos);
  CHECK(out.find("event=log_lines_dropped count=" + std::to_string(dropped)) !=
        std::string::npos);
}

TEST_CASE(
    "an output that accepts few bytes is offered the rest until it blocks") {
  std::string out;
  LogWriter writer([&](std::string_view bytes) {
    const std::size_t size = out.size() < 3 ? 1 : 0;
    out += bytes.substr(0, size);
    return size;
  });
  writer.Write("abcdef", false);
  writer.Flush();
  CHECK(out == "abc");
}

}  // namespace
}  // namespace acacia
