#include "src/config_publisher.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "src/content_hash.h"
#include "src/flat_table.h"

namespace acacia {
namespace {

constexpr int kMaxRetries = 12;
constexpr std::size_t kMaxParallelWrites = 8;

const schema::HeadEntryT* FindHistoryEntry(
    const schema::ConfigurationHeadT& head,
    const std::string& write_id) {
  for (const auto& entry : head.history) {
    if (entry->write_id == write_id) {
      return entry.get();
    }
  }
  return nullptr;
}

}  // namespace

ConfigPublisher::ConfigPublisher(const PublishRequest& request)
    : write_id(request.write_id),
      writer(request.writer),
      based_on(request.based_on),
      objects(SplitFileSet(request.file_set)),
      retries_left(kMaxRetries) {}

PublisherActions ConfigPublisher::Start() {
  std::size_t longest = this->objects.manifest.body.size();
  for (const StoredObject& chunk : this->objects.chunks) {
    longest = std::max(longest, chunk.body.size());
  }
  if (longest > kMaxObjectBytes) {
    this->Finish(PublishTooLarge{longest});
    return {};
  }
  return this->ReadHead();
}

void ConfigPublisher::Finish(PublishOutcome result) {
  this->outcome = std::move(result);
}

bool ConfigPublisher::UseRetry() {
  if (this->retries_left-- > 0) {
    return true;
  }
  if (this->head_write_unsettled) {
    this->Finish(PublishUnknown{});
  } else {
    this->Finish(PublishUnavailable{});
  }
  return false;
}

PublisherActions ConfigPublisher::ReadHead() {
  this->last_operation = this->last_operation.Next();
  this->head_operation = this->last_operation;
  return {ReadRow{this->head_operation, kHeadKey}};
}

PublisherActions ConfigPublisher::OnRowRead(OperationId operation,
                                            const RowResult& result) {
  if (this->outcome || operation != this->head_operation) {
    return {};
  }
  if (!result) {
    return this->UseRetry() ? this->ReadHead() : PublisherActions{};
  }
  return this->ContinueFromHead(*result);
}

PublisherActions ConfigPublisher::ContinueFromHead(const Row& row) {
  auto current = row.version == RowVersion()
                     ? schema::ConfigurationHeadT{}
                     : UnpackTable<schema::ConfigurationHead>(row.value);
  if (!current) {
    this->Finish(PublishUnavailable{});
    return {};
  }
  if (this->SettleOutcome(*current, row.version)) {
    return {};
  }
  const std::string old_manifest = current->manifest_hash;
  this->head = std::move(*current);
  this->head_version = row.version;
  if (this->objects_written) {
    return this->WriteHead();
  }
  if (old_manifest.empty()) {
    this->to_write.assign(this->objects.chunks.begin(),
                          this->objects.chunks.end());
    return this->WriteObjects({});
  }
  this->last_operation = this->last_operation.Next();
  this->manifest_read = this->last_operation;
  return {ReadObject{this->manifest_read, ObjectHash(old_manifest)}};
}

bool ConfigPublisher::SettleOutcome(const schema::ConfigurationHeadT& current,
                                    RowVersion version) {
  if (const auto* ours = FindHistoryEntry(current, this->write_id)) {
    this->Finish(PublishAccepted{Generation(ours->generation)});
    return true;
  }
  const bool head_changed =
      this->objects_written && version != this->head_version;
  const bool wrong_base =
      this->based_on && this->based_on->Value() != current.generation;
  if (!head_changed && !wrong_base) {
    return false;
  }
  // Once the head has changed, a head write of ours that arrives later fails
  // its compare-and-set. Whether an earlier one took effect is unknown only
  // when more file sets were accepted since than the head's history holds.
  const bool remembered =
      current.generation - this->head.generation <= kMaxHeadHistory;
  if (this->head_write_unsettled && !remembered) {
    this->Finish(PublishUnknown{});
  } else {
    this->Finish(PublishRefused{Generation(current.generation), current.writer,
                                current.write_id});
  }
  return true;
}

PublisherActions ConfigPublisher::OnObjectRead(OperationId operation,
                                               const ObjectResult& result) {
  if (this->outcome || operation != this->manifest_read) {
    return {};
  }
  std::set<ObjectHash> stored;
  if (result) {
    const auto manifest = ParseManifest(*result);
    const bool intact =
        HashContent(*result).Value() == this->head.manifest_hash;
    if (manifest && intact) {
      stored.insert(manifest->begin(), manifest->end());
    }
  }
  for (const StoredObject& chunk : this->objects.chunks) {
    if (stored.count(chunk.hash) == 0) {
      this->to_write.push_back(chunk);
    }
  }
  return this->WriteObjects({});
}

// The manifest is written last, so that all chunks of a stored manifest exist.
PublisherActions ConfigPublisher::WriteObjects(PublisherActions actions) {
  if (this->to_write.empty() && this->writing.empty() &&
      !this->objects_written) {
    this->objects_written = true;
    this->to_write.push_back(this->objects.manifest);
  }
  while (!this->to_write.empty() && this->writing.size() < kMaxParallelWrites) {
    this->last_operation = this->last_operation.Next();
    const StoredObject object = std::move(this->to_write.front());
    this->to_write.pop_front();
    actions.push_back(
        WriteObject{this->last_operation, object.hash, object.body});
    this->writing.emplace(this->last_operation, object);
  }
  return actions;
}

PublisherActions ConfigPublisher::OnObjectWritten(
    OperationId operation,
    const ObjectWriteResult& result) {
  const auto written = this->writing.find(operation);
  if (this->outcome || written == this->writing.end()) {
    return {};
  }
  const StoredObject object = std::move(written->second);
  this->writing.erase(written);
  if (!result) {
    // Objects are immutable, so writing one twice is harmless.
    if (!this->UseRetry()) {
      return {};
    }
    this->to_write.push_front(object);
    return this->WriteObjects({});
  }
  if (object.hash == this->objects.manifest.hash) {
    return this->WriteHead();
  }
  return this->WriteObjects({});
}

PublisherActions ConfigPublisher::WriteHead() {
  schema::ConfigurationHeadT new_head(this->head);
  new_head.generation = this->head.generation + 1;
  new_head.manifest_hash = this->objects.manifest.hash.Value();
  new_head.write_id = this->write_id;
  new_head.writer = this->writer;
  auto entry = std::make_unique<schema::HeadEntryT>();
  entry->generation = new_head.generation;
  entry->write_id = new_head.write_id;
  entry->writer = new_head.writer;
  new_head.history.push_back(std::move(entry));
  if (new_head.history.size() > kMaxHeadHistory) {
    new_head.history.erase(new_head.history.begin());
  }
  this->last_operation = this->last_operation.Next();
  this->head_operation = this->last_operation;
  return {WriteRow{this->head_operation, kHeadKey, this->head_version,
                   PackTable<schema::ConfigurationHead>(new_head)}};
}

PublisherActions ConfigPublisher::OnRowWritten(OperationId operation,
                                               const WriteResult& result) {
  if (this->outcome || operation != this->head_operation) {
    return {};
  }
  if (result) {
    this->Finish(PublishAccepted{Generation(this->head.generation + 1)});
    return {};
  }
  if (result.error() == PlatformError::kUnknown) {
    this->head_write_unsettled = true;
  }
  // Read the head again: it shows the outcome both after a conflict and after a
  // lost reply. If it is unchanged, the same write is sent again, which can
  // take effect only once.
  return this->UseRetry() ? this->ReadHead() : PublisherActions{};
}

}  // namespace acacia
