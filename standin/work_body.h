// The answers of backend-standin are derived from the work's id, so that a
// caller can check that an answer is right, whole and its own.
#ifndef STANDIN_WORK_BODY_H_
#define STANDIN_WORK_BODY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace acacia {

// `size` bytes that repeat "WORK_ID\n".
std::string WorkBody(std::string_view work_id, std::size_t size);

// The part of the endless body of `work_id` that starts at `offset`.
void FillWorkBody(std::string_view work_id,
                  std::uint64_t offset,
                  char* into,
                  std::size_t size);

// Checks a body as it arrives, without keeping it.
class WorkBodyChecker {
 public:
  explicit WorkBodyChecker(std::string_view work_id);

  void Add(std::string_view bytes);
  bool IsRight() const { return this->right; }
  std::uint64_t Size() const { return this->offset; }

 private:
  std::string pattern;
  std::uint64_t offset = 0;
  bool right = true;
};

}  // namespace acacia

#endif  // STANDIN_WORK_BODY_H_
