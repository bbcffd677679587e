// Pools what the entries saw of each backend server, so that a sick one is
// found soon at low traffic and one bad link or one entry's bad luck ejects
// nobody.
//
// Each agent keeps a short window of its own entry's evidence. Whoever sees bad
// evidence sends it to the service's proposers. When that alone would do for an
// ejection, these ask the whole fleet about the backend server, and everybody
// with evidence, good or bad, answers them.
// Nothing is sent while nothing is suspected.
#ifndef SRC_EVIDENCE_POOL_H_
#define SRC_EVIDENCE_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/clock.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"

namespace acacia {

class EvidencePool {
 public:
  // What the own entry reported since its last report.
  void OnReport(
      const std::vector<std::unique_ptr<schema::BackendEvidenceT>>& evidence,
      TimePoint now);
  // Evidence of one instance, sent to this one as a proposer.
  void OnShare(
      const InstanceId& reporter,
      const FailureDomain& domain,
      const std::vector<std::unique_ptr<schema::BackendEvidenceT>>& evidence,
      TimePoint now);
  // What was seen before the fleet ejected the backend server says nothing
  // about it when it returns.
  void Forget(const ServiceName& service, const BackendId& backend);
  void OnQuestion(const schema::EvidenceQuestionT& question, TimePoint now);

  // Ages the windows and drops what is old.
  void OnTick(TimePoint now);
  // Evidence to send to the proposers now, by service; empty in calm.
  std::map<ServiceName, schema::EvidenceShareT> TakeShares(TimePoint now);
  // Questions to pass on, the youngest first.
  std::vector<schema::EvidenceQuestionT> Questions(std::size_t limit,
                                                   TimePoint now) const;
  // True once after a question was heard for the first time.
  bool TakeNewQuestion();

  // The backend servers that the pooled evidence shows to be sick.
  // `servers` is how many the service has; `domains` how many failure domains
  // the fleet has.
  std::set<BackendId> Sick(const ServiceName& service,
                           std::size_t servers,
                           std::size_t domains,
                           TimePoint now) const;
  std::vector<std::string> Explain(const ServiceName& service,
                                   TimePoint now) const;

 private:
  using Key = std::pair<ServiceName, BackendId>;
  struct Window {
    double attempts = 0;
    double bad = 0;
    bool avoided = false;
    TimePoint updated;
  };
  struct Shared {
    FailureDomain domain;
    double attempts = 0;
    double bad = 0;
    bool avoided = false;
    TimePoint at;
  };
  struct Totals {
    std::size_t reporters = 0;
    std::size_t bad_reporters = 0;
    std::set<FailureDomain> bad_domains;
    double attempts = 0;
    double bad = 0;
  };

  Totals Sum(const Key& key, TimePoint now) const;
  bool IsSick(const Key& key, std::size_t domains, TimePoint now) const;

  std::map<Key, Window> windows;
  std::map<Key, std::map<InstanceId, Shared>> shared;
  // When each question was first asked, by this process's clock.
  std::map<Key, TimePoint> questions;
  bool new_question = false;
  TimePoint next_decay;
  TimePoint next_share;
};

}  // namespace acacia

#endif  // SRC_EVIDENCE_POOL_H_
