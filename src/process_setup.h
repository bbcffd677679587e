// Prepares the process for its surroundings before anything else runs.
#ifndef SRC_PROCESS_SETUP_H_
#define SRC_PROCESS_SETUP_H_

#include <cstdint>
#include <initializer_list>

namespace acacia {

// Opens /dev/null in place of each closed standard stream, so that no socket
// gets its number and with it the log. Must be called before the process opens
// any file or starts a thread.
//
// A program that calls this also ignores, from before main on, the signals that
// would end it for reasons that concern only its log, or none at all, and
// SIGHUP until it handles that signal itself.
void PrepareProcess();

// Unblocks signals that the program handles: a process inherits the blocked
// signals of the one that starts it. Must be called once they are handled and
// before other threads start.
void UnblockSignals(std::initializer_list<int> signals);

// Returns how many descriptors the system lets the process open; 0 if any
// number.
std::uint32_t DescriptorLimit();

}  // namespace acacia

#endif  // SRC_PROCESS_SETUP_H_
