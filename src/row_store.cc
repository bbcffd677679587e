#include "src/row_store.h"

namespace acacia {

std::string_view RowStoreErrorName(RowStoreError error) {
  switch (error) {
    case RowStoreError::kUnavailable:
      return "unavailable";
    case RowStoreError::kTooManyCalls:
      return "too_many_calls";
    case RowStoreError::kHistoryGone:
      return "history_gone";
    case RowStoreError::kConflict:
      return "conflict";
    case RowStoreError::kUnknown:
      return "no_answer";
    case RowStoreError::kMalformed:
      return "malformed";
  }
  return "unknown";
}

}  // namespace acacia
