// Whether an entry has read the newest configuration that it knows to exist.
#ifndef SRC_CONFIGURATION_AGE_H_
#define SRC_CONFIGURATION_AGE_H_

namespace acacia {

enum class ConfigurationAge {
  kNewestKnown,
  // A newer configuration exists that this entry has not read.
  kOutdated,
};

}  // namespace acacia

#endif  // SRC_CONFIGURATION_AGE_H_
