// The command "acaciactl check-config", without its command line.
#ifndef SRC_CHECK_CONFIG_H_
#define SRC_CHECK_CONFIG_H_

#include <iosfwd>
#include <string>

#include "src/configuration_draft.h"

namespace acacia {

struct CheckConfigOptions {
  std::string file;
  // The version in force, to compare with; empty: no comparison.
  std::string in_force_file;
};

// Prints findings and changes to `out`. Returns an exit code of acaciactl:
// kCtlRefused if there are errors, kCtlMistake if a file cannot be read.
int CheckConfig(const CheckConfigOptions& options,
                const DraftReader& read,
                std::ostream& out,
                std::ostream& err);

}  // namespace acacia

#endif  // SRC_CHECK_CONFIG_H_
