// Internal assertions. A failed check is a bug in this program, never a user's
// mistake: user errors are returned as values (see error_kind.h and
// user_error.h). A failed check logs a message and ends the process.
#ifndef SRC_CHECK_H_
#define SRC_CHECK_H_

#include <glog/logging.h>

#define ACACIA_CHECK(condition) CHECK(condition) << " event=internal_error "

#endif  // SRC_CHECK_H_
