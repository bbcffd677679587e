// Bodies of backend-standin's answers, derived from the work id so that a
// caller can check that an answer is correct, complete and belongs to its
// request.
#ifndef STANDIN_WORK_BODY_H_
#define STANDIN_WORK_BODY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace acacia {

// `size` bytes that repeat "WORK_ID\n".
std::string WorkBody(std::string_view work_id, std::size_t size);

// Writes `size` bytes of the unbounded body of `work_id` from `offset` on.
void FillWorkBody(std::string_view work_id,
                  std::uint64_t offset,
                  char* into,
                  std::size_t size);

// Checks a body incrementally, without storing it.
class WorkBodyChecker {
 public:
  explicit WorkBodyChecker(std::string_view work_id);

  void Add(std::string_view bytes);
  bool IsCorrect() const { return this->correct; }
  std::uint64_t Size() const { return this->offset; }

 private:
  std::string pattern;
  std::uint64_t offset = 0;
  bool correct = true;
};

}  // namespace acacia

#endif  // STANDIN_WORK_BODY_H_
