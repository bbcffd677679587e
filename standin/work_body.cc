#include "standin/work_body.h"

#include <algorithm>

namespace acacia {

void FillWorkBody(std::string_view work_id,
                  std::uint64_t offset,
                  char* into,
                  std::size_t size) {
  const std::string pattern = std::string(work_id) + "\n";
  std::size_t position = offset % pattern.size();
  for (std::size_t done = 0; done < size;) {
    const std::size_t step = std::min(pattern.size() - position, size - done);
    std::copy_n(pattern.data() + position, step, into + done);
    done += step;
    position = 0;
  }
}

std::string WorkBody(std::string_view work_id, std::size_t size) {
  std::string body(size, '\0');
  FillWorkBody(work_id, 0, body.data(), size);
  return body;
}

WorkBodyChecker::WorkBodyChecker(std::string_view work_id)
    : pattern(std::string(work_id) + "\n") {}

void WorkBodyChecker::Add(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t position = this->offset % this->pattern.size();
    const std::string_view expected =
        std::string_view(this->pattern).substr(position, bytes.size());
    if (bytes.substr(0, expected.size()) != expected) {
      this->correct = false;
    }
    this->offset += expected.size();
    bytes.remove_prefix(expected.size());
  }
}

}  // namespace acacia
