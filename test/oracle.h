// Checks the invariants of coordination between several instances, using only
// what is visible from outside: accepted rows, the state each entry received
// and which instances were told to stop. Shares no code with the
// implementation.
#ifndef TEST_ORACLE_H_
#define TEST_ORACLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

namespace acacia {

struct OracleViolation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Oracle {
 public:
  Oracle(std::size_t servers, std::size_t stop_limit)
      : servers(servers), stop_limit(stop_limit) {}

  // A head row was written.
  void OnAccepted(std::uint64_t generation,
                  const std::string& write_id,
                  std::uint32_t floor_percent) {
    this->Require(generation == this->accepted.size() + 1,
                  "accepted generations are not consecutive");
    this->accepted[generation] = write_id;
    this->floors[generation] = floor_percent;
  }
  // What an operator was told about a write. Rejections are checked in OnEnd,
  // when late writes have completed.
  void OnAcceptanceReported(std::uint64_t generation,
                            const std::string& write_id) {
    this->Require(this->accepted[generation] == write_id,
                  "an operator was told of another's acceptance");
  }
  void OnRejectionReported(const std::string& write_id) {
    this->not_accepted.insert(write_id);
  }
  void OnEnd() {
    for (const auto& [generation, write_id] : this->accepted) {
      this->Require(this->not_accepted.count(write_id) == 0,
                    "a set was accepted that its operator was told was not");
    }
  }
  // An instance's entry received a configuration.
  void OnConfigurationInForce(const std::string& instance,
                              std::uint64_t generation) {
    std::uint64_t& newest = this->in_force[instance];
    this->Require(generation >= newest, instance + " went back a generation");
    this->Require(this->accepted.count(generation) != 0,
                  "a configuration is in force that was never accepted");
    newest = generation;
  }
  // The backend servers that each entry has ejected at this moment. Assumes
  // that all have equally many slots. The floor is the lowest of the
  // configurations in force at these instances.
  void OnEjected(const std::map<std::string, std::set<std::string>>& by_entry) {
    std::set<std::string> all;
    std::uint32_t floor = 100;
    for (const auto& [instance, ejected] : by_entry) {
      all.insert(ejected.begin(), ejected.end());
      const auto generation = this->in_force.find(instance);
      if (generation != this->in_force.end()) {
        floor = std::min(floor, this->floors[generation->second]);
      }
    }
    this->max_ejected = std::max(this->max_ejected, all.size());
    const std::size_t remaining = this->servers - all.size();
    this->Require(all.empty() || remaining * 100 >= this->servers * floor,
                  "the union of ejections is below the floor");
  }
  // The instances that were told to stop and have not been replaced, each with
  // its failure domain.
  void OnStopping(
      const std::map<std::string, std::string>& domain_by_instance) {
    std::map<std::string, std::size_t> count;
    for (const auto& [instance, domain] : domain_by_instance) {
      this->Require(++count[domain] <= this->stop_limit,
                    "a stop plan exceeds its limit in a failure domain");
    }
    this->max_stopping =
        std::max(this->max_stopping, domain_by_instance.size());
  }
  // A row protected by a lease was written. Lease tokens must not go back, and
  // each has one holder.
  void OnFencedWrite(const std::string& key,
                     std::uint64_t token,
                     const std::string& writer) {
    std::uint64_t& newest = this->tokens[key];
    this->Require(token >= newest, "a late write passed the fence");
    newest = token;
    const auto holder = this->holders.try_emplace(token, writer).first;
    this->Require(holder->second == writer, "two holders share a lease token");
  }

  // How much was observed, so that a run that exercised nothing can be
  // detected.
  std::size_t max_ejected = 0;
  std::size_t max_stopping = 0;
  std::size_t Accepted() const { return this->accepted.size(); }

 private:
  void Require(bool condition, const std::string& what) const {
    if (!condition) {
      throw OracleViolation(what);
    }
  }

  std::size_t servers;
  std::size_t stop_limit;
  std::map<std::uint64_t, std::string> accepted;
  std::map<std::uint64_t, std::uint32_t> floors;
  std::set<std::string> not_accepted;
  std::map<std::string, std::uint64_t> in_force;
  std::map<std::string, std::uint64_t> tokens;
  std::map<std::uint64_t, std::string> holders;
};

}  // namespace acacia

#endif  // TEST_ORACLE_H_
