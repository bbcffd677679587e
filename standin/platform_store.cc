#include "standin/platform_store.h"

#include <utility>

namespace acacia {

Row PlatformStore::ReadRow(const std::string& key) const {
  const auto found = this->rows.find(key);
  return found == this->rows.end() ? Row{} : found->second;
}

WriteResult PlatformStore::WriteRow(const std::string& key,
                                    RowVersion expected,
                                    std::string value) {
  if (this->ReadRow(key).version != expected) {
    return tl::unexpected(PlatformError::kConflict);
  }
  Row& row = this->rows[key];
  row.value = std::move(value);
  row.version = expected.Next();
  return row.version;
}

const std::string* PlatformStore::FindObject(const std::string& hash) const {
  const auto found = this->objects.find(hash);
  return found == this->objects.end() ? nullptr : &found->second;
}

void PlatformStore::WriteObject(const std::string& hash, std::string body) {
  this->objects.insert_or_assign(hash, std::move(body));
}

void PlatformStore::Change(InstanceChange change, TimePoint now) {
  this->pending.push_back({now + this->list_lag, std::move(change)});
}

InstanceList PlatformStore::List(const std::string& service, TimePoint now) {
  while (!this->pending.empty() && this->pending.front().visible_at <= now) {
    this->MakeVisible(this->pending.front().change);
    this->pending.pop_front();
  }
  InstanceList list;
  const auto found = this->visible.find(service);
  if (found == this->visible.end()) {
    return list;
  }
  list.version = found->second.version;
  for (const auto& [address, instance] : found->second.by_address) {
    list.instances.push_back(instance);
  }
  return list;
}

void PlatformStore::MakeVisible(const InstanceChange& change) {
  VisibleService& service = this->visible[change.service];
  if (change.instance) {
    service.by_address[change.address] = *change.instance;
  } else {
    service.by_address.erase(change.address);
  }
  ++service.version;
}

}  // namespace acacia
