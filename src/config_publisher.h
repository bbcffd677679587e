// Applies one file set: writes its chunks and manifest as objects, then accepts
// it by one compare-and-set on the head row. Operators may race, the platform
// may fail and replies may be lost; the outcome never claims more than is
// known. Running it again with the same write id is safe.
//
// Not thread-safe.
#ifndef SRC_CONFIG_PUBLISHER_H_
#define SRC_CONFIG_PUBLISHER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "src/clock.h"
#include "src/config_chunks.h"
#include "src/generated/file_set_generated.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"
#include "src/platform.h"

namespace acacia {

inline constexpr char kHeadKey[] = "configuration/head";
// How many accepted configurations the head row remembers.
inline constexpr std::size_t kHeadHistory = 32;

// The set is in force, or was before newer ones.
struct PublishAccepted {
  Generation generation;
};
// Another set won; ours certainly never takes effect.
struct PublishRefused {
  Generation current;
  std::string writer;
  std::string write_id;
};
// The platform does not say whether the set was accepted. Run again with the
// same write id to find out.
struct PublishUnknown {};
// The platform could not be reached; the set was certainly not accepted.
struct PublishUnavailable {};

using PublishOutcome = std::variant<PublishAccepted,
                                    PublishRefused,
                                    PublishUnknown,
                                    PublishUnavailable>;

using PublisherAction =
    std::variant<ReadRow, WriteRow, ReadObject, WriteObject>;
using PublisherActions = std::vector<PublisherAction>;

struct PublishRequest {
  schema::FileSetT file_set;
  // Unique per apply; the same again after an unknown outcome.
  std::string write_id;
  // For people: who applied.
  std::string writer;
  // Refuse unless this generation is the current one.
  std::optional<Generation> based_on;
};

class ConfigPublisher {
 public:
  explicit ConfigPublisher(const PublishRequest& request);

  // Carry out the actions and report each result; done when Outcome() is set.
  // Retries follow each other at once: the owner may delay an action.
  PublisherActions Start();
  PublisherActions OnRowRead(OperationId operation, const RowResult& result);
  PublisherActions OnRowWritten(OperationId operation,
                                const WriteResult& result);
  PublisherActions OnObjectRead(OperationId operation,
                                const ObjectResult& result);
  PublisherActions OnObjectWritten(OperationId operation,
                                   const ObjectWriteResult& result);

  const std::optional<PublishOutcome>& Outcome() const { return this->outcome; }

 private:
  PublisherActions ReadHead();
  PublisherActions AfterHead(const Row& row);
  PublisherActions WriteObjects(PublisherActions actions);
  PublisherActions WriteHead();
  // Returns true when the head tells the outcome.
  bool SettleByHead(const schema::ConfigurationHeadT& head, RowVersion version);
  void Finish(PublishOutcome result);
  bool SpendTry();

  std::string write_id;
  std::string writer;
  std::optional<Generation> based_on;
  ChunkedFileSet objects;

  OperationId next;
  std::optional<PublishOutcome> outcome;
  schema::ConfigurationHeadT head;
  RowVersion head_version;
  bool objects_written = false;
  // A head write may have taken effect, or may yet.
  bool head_write_unsettled = false;
  OperationId manifest_read;
  OperationId head_operation;
  std::deque<StoredObject> to_write;
  std::map<OperationId, StoredObject> writing;
  int tries_left;
};

}  // namespace acacia

#endif  // SRC_CONFIG_PUBLISHER_H_
