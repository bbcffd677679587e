// Finds errors in a configuration before it is sent, resources that can never
// be used, and limits that contradict each other.
#ifndef SRC_CONFIGURATION_CHECK_H_
#define SRC_CONFIGURATION_CHECK_H_

#include "src/configuration_draft.h"

namespace acacia {

// Returns what was found while reading the draft, followed by what its parts
// say together.
Findings CheckConfiguration(const ConfigurationDraft& draft);

bool HasError(const Findings& findings);

}  // namespace acacia

#endif  // SRC_CONFIGURATION_CHECK_H_
