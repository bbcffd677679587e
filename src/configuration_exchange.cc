#include "src/configuration_exchange.h"

#include <utility>

namespace acacia {

ConfigurationExchange::ConfigurationExchange(std::string key,
                                             RandomSource& random)
    : requester(random) {
  this->row.key = std::move(key);
}

void ConfigurationExchange::OnRowRead(RowVersion version,
                                      std::optional<std::string> text) {
  this->row.version = NewerVersion(this->row.version, version);
  if (text) {
    this->row.value = std::move(*text);
  }
}

std::optional<TableRows> ConfigurationExchange::ReplyTo(RowVersion after,
                                                        RowVersion version,
                                                        TimePoint now) {
  const std::size_t bytes = this->row.value.size();
  const bool is_sent = bytes > 0 && bytes <= kMaxRowBytes && version > after &&
                       this->budget.Take(bytes, now);
  return is_sent ? std::optional(TableRows{{this->row}, version})
                 : std::nullopt;
}

bool ConfigurationExchange::IsReply(const TableRows& rows) const {
  return rows.rows.size() == 1 && rows.rows.front().key == this->row.key &&
         !rows.rows.front().removed &&
         rows.rows.front().value.size() <= kMaxRowBytes;
}

}  // namespace acacia
