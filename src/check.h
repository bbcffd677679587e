// Internal assertions. A failed check is a defect of ours, never a user's
// mistake: user errors are values (see error_kind.h and user_error.h). The
// message goes to the log and the process ends.
#ifndef SRC_CHECK_H_
#define SRC_CHECK_H_

#include <glog/logging.h>

#define ACACIA_CHECK(condition) CHECK(condition) << " event=internal_error "

#endif  // SRC_CHECK_H_
