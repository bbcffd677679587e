// Pools the entries' evidence on each backend server. This detects a sick
// backend server early even at low traffic, and keeps one bad link or a few
// chance failures at one entry from ejecting a backend server.
//
// Each agent keeps a short window of its own entry's evidence and sends bad
// evidence to the service's proposers. When enough instances report bad
// evidence, the proposers ask the whole fleet about the backend server, and
// every instance with evidence, good or bad, answers. Nothing is sent while no
// backend server is suspected.
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
  // Adds what this instance's entry has seen since its previous report.
  void OnReport(
      const std::vector<std::unique_ptr<schema::BackendEvidenceT>>& evidence,
      TimePoint now);
  // Adds the evidence that another instance sent to this one as a proposer.
  // Enough bad evidence on a backend server raises a question about it.
  void OnShare(
      const InstanceId& reporter,
      const FailureDomain& domain,
      const std::vector<std::unique_ptr<schema::BackendEvidenceT>>& evidence,
      TimePoint now);
  // Drops all evidence on a backend server that the fleet has ejected: it says
  // nothing about the backend server's health when it returns.
  void Forget(const ServiceName& service, const BackendId& backend);
  // Handles a question of a peer; it is then answered with the next shares.
  void OnQuestion(const schema::EvidenceQuestionT& question, TimePoint now);

  // Decays the windows and drops expired evidence and questions.
  void OnTick(TimePoint now);
  // Evidence to send to the proposers now, by service: bad evidence, and all
  // evidence on backend servers that a question is about. At most once per
  // second; empty in between.
  std::map<ServiceName, schema::EvidenceShareT> TakeShares(TimePoint now);
  // Up to `limit` questions to pass on to peers, the most recent first.
  std::vector<schema::EvidenceQuestionT> Questions(std::size_t limit,
                                                   TimePoint now) const;
  // True once after a new question was raised here or received.
  bool TakeNewQuestion();

  // The backend servers that the pooled evidence shows to be sick.
  // `servers` is the service's number of backend servers, `domains` the fleet's
  // number of failure domains. Empty when more than half of the service looks
  // sick.
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
  struct ReceivedShare {
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

  Totals SumShares(const Key& key, TimePoint now) const;
  bool IsSick(const Key& key, std::size_t domains, TimePoint now) const;

  std::map<Key, Window> windows;
  std::map<Key, std::map<InstanceId, ReceivedShare>> shared;
  // When each question was first asked, by this process's clock.
  std::map<Key, TimePoint> questions;
  bool new_question = false;
  TimePoint next_decay;
  TimePoint next_share;
};

}  // namespace acacia

#endif  // SRC_EVIDENCE_POOL_H_
