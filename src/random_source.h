// Source of random numbers. Code that makes decisions takes it as an argument,
// so that its decisions can be reproduced from a seed.
#ifndef SRC_RANDOM_SOURCE_H_
#define SRC_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

namespace acacia {

class RandomSource {
 public:
  virtual ~RandomSource() = default;
  // Uniform over all 64-bit values.
  virtual std::uint64_t Next() = 0;

  // Uniform over [0, bound); bound must be positive.
  std::uint64_t Below(std::uint64_t bound) { return this->Next() % bound; }
  // Uniform over [0, 1).
  double Fraction() {
    return static_cast<double>(this->Next() >> 11) * 0x1.0p-53;
  }
};

class SeededRandom : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine(seed) {}
  std::uint64_t Next() override { return this->engine(); }

 private:
  std::mt19937_64 engine;
};

// Returns a seed from the operating system.
inline std::uint64_t DrawSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace acacia

#endif  // SRC_RANDOM_SOURCE_H_
