// Prepares the process for its surroundings before anything else runs.
#ifndef SRC_PROCESS_SETUP_H_
#define SRC_PROCESS_SETUP_H_

namespace acacia {

// Ignores SIGPIPE, so that writing to a pipe or socket whose reader has gone
// fails instead of ending the process. Must be called before the process opens
// any file or starts a thread.
//
// A program that calls this also ignores SIGHUP from before main on, until it
// handles the signal itself.
void PrepareProcess();

}  // namespace acacia

#endif  // SRC_PROCESS_SETUP_H_
