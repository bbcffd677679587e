#include "src/name.h"

#include <algorithm>

namespace acacia {
namespace {

bool IsAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

}  // namespace

bool HasOnlyAlphanumericsOr(std::string_view text,
                            std::string_view punctuation) {
  return std::all_of(text.begin(), text.end(), [&](char c) {
    return IsAlphanumeric(c) || punctuation.find(c) != std::string_view::npos;
  });
}

bool IsValidName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         IsAlphanumeric(text.front()) && HasOnlyAlphanumericsOr(text, "._-");
}

}  // namespace acacia
