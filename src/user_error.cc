#include "src/user_error.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace acacia {

std::string UserError::Describe() const {
  std::string text = this->file;
  if (this->line > 0) {
    text += ":" + std::to_string(this->line);
  }
  text += ": ";
  if (!this->field.empty()) {
    text += this->field + ": ";
  }
  text += this->message;
  if (!this->hint.empty()) {
    text += " (" + this->hint + ")";
  }
  return text;
}

std::string DescribeAll(const UserErrors& errors) {
  std::string text;
  for (const UserError& error : errors) {
    text += error.Describe() + "\n";
  }
  return text;
}

UserErrors OnePerField(const UserErrors& errors) {
  std::set<std::pair<std::string, std::string>> seen;
  UserErrors kept;
  for (const UserError& error : errors) {
    if (error.field.empty() || seen.emplace(error.file, error.field).second) {
      kept.push_back(error);
    }
  }
  std::stable_sort(kept.begin(), kept.end(),
                   [](const UserError& a, const UserError& b) {
                     return std::tie(a.file, a.line) < std::tie(b.file, b.line);
                   });
  return kept;
}

}  // namespace acacia
