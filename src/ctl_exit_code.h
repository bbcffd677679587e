// Exit codes of acaciactl.
#ifndef SRC_CTL_EXIT_CODE_H_
#define SRC_CTL_EXIT_CODE_H_

namespace acacia {

inline constexpr int kCtlAccepted = 0;
inline constexpr int kCtlRefused = 1;
inline constexpr int kCtlMistake = 2;
inline constexpr int kCtlUnknown = 3;
inline constexpr int kCtlUnavailable = 4;

}  // namespace acacia

#endif  // SRC_CTL_EXIT_CODE_H_
