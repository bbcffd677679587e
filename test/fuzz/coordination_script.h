// Runs a script of faults and operator actions on a few agents while the oracle
// checks the invariants. The same seed and script give the same run.
#ifndef TEST_FUZZ_COORDINATION_SCRIPT_H_
#define TEST_FUZZ_COORDINATION_SCRIPT_H_

#include <cstdint>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "test/coord_fakes.h"
#include "test/oracle.h"

namespace acacia {

enum class Operation {
  kApply,
  kRace,
  kOutage,
  kSlow,
  kLoseReplies,
  kCut,
  kCutPlatform,
  kHeal,
  kPause,
  kResume,
  kReplace,
  kSick,
  kLeave,
  kAdvance,
};
inline constexpr int kOperations = static_cast<int>(Operation::kAdvance) + 1;

struct Step {
  Operation operation = Operation::kAdvance;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};
using Script = std::vector<Step>;
std::ostream& operator<<(std::ostream& out, const Step& step);

// Injected faults, to show that the oracle detects them.
enum class Fault {
  kNone,
  // The table takes every write, whatever version it expects.
  kNoCompareAndSet,
  // Entries keep applying ejections after they lapsed.
  kEjectionsNeverLapse,
  // Grants omit the backend servers that are returning.
  kForgetReturning,
  // A replaced instance starts at the previous generation.
  kOldGeneration,
  // A stop plan marks and notifies all its targets at once.
  kMarkAll,
  // An operator is told "refused" whatever happened.
  kAlwaysRefused,
};

class CoordinationRun {
 public:
  CoordinationRun(std::uint64_t seed, Fault fault);
  // Throws OracleViolation.
  void Run(const Script& script);
  const Oracle& GetOracle() const { return this->oracle; }

 private:
  void Do(const Step& step);
  void DoToInstances(const Step& step);
  void Apply(const Step& step);
  void Race(const Step& step);
  void ReportOutcome(const ConfigPublisher& publisher,
                     const std::string& write_id);
  PublishRequest MakeRequest(const Step& step);
  void Advance(int seconds);
  void Report();
  void Observe();
  void ReplaceStopped();
  void Inject(const std::string& name, AgentAction& action);
  void OnRowWritten(const std::string& key, const Row& row);
  std::string NodeName(std::uint32_t n) const;

  Fault fault;
  FakeFleet fleet;
  Oracle oracle;
  int second = 0;
  int applies = 0;
  std::map<std::string, std::uint32_t> floor_by_write;
  std::set<std::string> sick;
  std::set<std::string> leaving;
  std::map<std::string, int> stopping;
  std::map<std::string, std::size_t> seen_generations;
};

}  // namespace acacia

#endif  // TEST_FUZZ_COORDINATION_SCRIPT_H_
