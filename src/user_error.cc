#include "src/user_error.h"

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

}  // namespace acacia
