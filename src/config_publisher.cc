#include "src/config_publisher.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "src/content_hash.h"
#include "src/flat_table.h"

namespace acacia {
namespace {

constexpr int kTries = 12;
constexpr std::size_t kParallelWrites = 8;

const schema::HeadEntryT* FindWrite(const schema::ConfigurationHeadT& head,
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
      tries_left(kTries) {}

PublisherActions ConfigPublisher::Start() {
  return this->ReadHead();
}

void ConfigPublisher::Finish(PublishOutcome result) {
  this->outcome = std::move(result);
}

// Ends the apply when no tries are left.
bool ConfigPublisher::SpendTry() {
  if (this->tries_left-- > 0) {
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
  this->next = this->next.Next();
  this->head_operation = this->next;
  return {ReadRow{this->head_operation, kHeadKey}};
}

PublisherActions ConfigPublisher::OnRowRead(OperationId operation,
                                            const RowResult& result) {
  if (this->outcome || operation != this->head_operation) {
    return {};
  }
  if (!result) {
    return this->SpendTry() ? this->ReadHead() : PublisherActions{};
  }
  return this->AfterHead(*result);
}

PublisherActions ConfigPublisher::AfterHead(const Row& row) {
  auto current = row.version == RowVersion()
                     ? schema::ConfigurationHeadT{}
                     : UnpackTable<schema::ConfigurationHead>(row.value);
  if (!current) {
    this->Finish(PublishUnavailable{});
    return {};
  }
  if (this->SettleByHead(*current, row.version)) {
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
  this->next = this->next.Next();
  this->manifest_read = this->next;
  return {ReadObject{this->manifest_read, ObjectHash(old_manifest)}};
}

bool ConfigPublisher::SettleByHead(const schema::ConfigurationHeadT& current,
                                   RowVersion version) {
  if (const auto* ours = FindWrite(current, this->write_id)) {
    this->Finish(PublishAccepted{Generation(ours->generation)});
    return true;
  }
  const bool moved_on = this->objects_written && version != this->head_version;
  const bool wrong_base =
      this->based_on && this->based_on->Value() != current.generation;
  if (!moved_on && !wrong_base) {
    return false;
  }
  // A head that has moved on makes our write fail whenever it arrives. Only
  // when more sets were accepted since than the head remembers is it unsure
  // whether ours was among them.
  const bool remembered =
      current.generation - this->head.generation <= kHeadHistory;
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

// The manifest goes last, so that a manifest in the store has all its chunks.
PublisherActions ConfigPublisher::WriteObjects(PublisherActions actions) {
  if (this->to_write.empty() && this->writing.empty() &&
      !this->objects_written) {
    this->objects_written = true;
    this->to_write.push_back(this->objects.manifest);
  }
  while (!this->to_write.empty() && this->writing.size() < kParallelWrites) {
    this->next = this->next.Next();
    const StoredObject object = std::move(this->to_write.front());
    this->to_write.pop_front();
    actions.push_back(WriteObject{this->next, object.hash, object.body});
    this->writing.emplace(this->next, object);
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
    // Objects never change, so writing one twice is harmless.
    if (!this->SpendTry()) {
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
  schema::ConfigurationHeadT mine(this->head);
  mine.generation = this->head.generation + 1;
  mine.manifest_hash = this->objects.manifest.hash.Value();
  mine.write_id = this->write_id;
  mine.writer = this->writer;
  auto entry = std::make_unique<schema::HeadEntryT>();
  entry->generation = mine.generation;
  entry->write_id = mine.write_id;
  entry->writer = mine.writer;
  mine.history.push_back(std::move(entry));
  if (mine.history.size() > kHeadHistory) {
    mine.history.erase(mine.history.begin());
  }
  this->next = this->next.Next();
  this->head_operation = this->next;
  return {WriteRow{this->head_operation, kHeadKey, this->head_version,
                   PackTable<schema::ConfigurationHead>(mine)}};
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
  // Read the head: it settles a conflict and a lost reply alike. An unchanged
  // head leads to the same write again, which can take effect only once.
  return this->SpendTry() ? this->ReadHead() : PublisherActions{};
}

}  // namespace acacia
