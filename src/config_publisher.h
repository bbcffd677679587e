// Publishes one file set: writes its chunks and manifest as objects, then makes
// it the accepted configuration by one compare-and-set on the head row. Several
// operators may publish at once, the platform may fail and replies may be lost;
// the outcome never claims more than is known. Running it again with the same
// write id is safe.
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
// How many accepted configurations the head row keeps in its history.
inline constexpr std::size_t kMaxHeadHistory = 32;

// The file set was accepted; newer ones may have replaced it since.
struct PublishAccepted {
  Generation generation;
};
// Another file set was accepted instead; this one never takes effect. Names the
// configuration that is current now.
struct PublishRefused {
  Generation current;
  std::string writer;
  std::string write_id;
};
// It is not known whether the file set was accepted. Run again with the same
// write id to find out.
struct PublishUnknown {};
// The platform could not be reached, or its head row could not be read; the
// file set was certainly not accepted.
struct PublishUnavailable {};

// An object of the file set exceeds kMaxObjectBytes; nothing was written.
struct PublishTooLarge {
  std::size_t bytes = 0;
};

using PublishOutcome = std::variant<PublishAccepted,
                                    PublishRefused,
                                    PublishUnknown,
                                    PublishUnavailable,
                                    PublishTooLarge>;

using PublisherAction =
    std::variant<ReadRow, WriteRow, ReadObject, WriteObject>;
using PublisherActions = std::vector<PublisherAction>;

struct PublishRequest {
  schema::FileSetT file_set;
  // Unique per apply; reused when running again after an unknown outcome.
  std::string write_id;
  // Who applied, for the record.
  std::string writer;
  // When given, refuse unless this generation is the current one.
  std::optional<Generation> based_on;
};

class ConfigPublisher {
 public:
  explicit ConfigPublisher(const PublishRequest& request);

  // The owner carries out the returned actions and reports each result, until
  // Outcome() is set. Retries are returned without delay: the owner may delay
  // them.
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
  PublisherActions ContinueFromHead(const Row& row);
  PublisherActions WriteObjects(PublisherActions actions);
  PublisherActions WriteHead();
  // Sets the outcome and returns true when the head decides it.
  bool SettleOutcome(const schema::ConfigurationHeadT& head,
                     RowVersion version);
  void Finish(PublishOutcome result);
  // Uses up one retry. When none is left, sets the outcome and returns false.
  bool UseRetry();

  std::string write_id;
  std::string writer;
  std::optional<Generation> based_on;
  ChunkedFileSet objects;

  OperationId last_operation;
  std::optional<PublishOutcome> outcome;
  schema::ConfigurationHeadT head;
  RowVersion head_version;
  bool objects_written = false;
  // A head write without a reply may have taken effect, or may still do so.
  bool head_write_unsettled = false;
  OperationId manifest_read;
  OperationId head_operation;
  std::deque<StoredObject> to_write;
  std::map<OperationId, StoredObject> writing;
  int retries_left;
};

}  // namespace acacia

#endif  // SRC_CONFIG_PUBLISHER_H_
