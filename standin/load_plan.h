// Plans the requests of an open-loop caller population: arrivals follow the
// rate profile and do not depend on the answers.
#ifndef STANDIN_LOAD_PLAN_H_
#define STANDIN_LOAD_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "src/clock.h"
#include "src/generated/settings_generated.h"
#include "src/random_source.h"

namespace acacia {

struct PlannedRequest {
  // The planned send time, since the start of the run.
  Duration at{};
  std::size_t load_class = 0;
  std::string work_id;
  std::string account;
};

// Poisson arrivals; the same settings and seed give the same plan.
class LoadPlan {
 public:
  explicit LoadPlan(const schema::LoadSettingsT& settings);

  // Empty when the run is over.
  std::optional<PlannedRequest> Next();

 private:
  double RateAt(Duration at) const;
  // The next rate point after `at`, or the end of the run.
  Duration NextPoint(Duration at) const;
  std::size_t DrawClass();

  const schema::LoadSettingsT& settings;
  SeededRandom random;
  Duration at{};
  std::uint64_t count = 0;
};

}  // namespace acacia

#endif  // STANDIN_LOAD_PLAN_H_
