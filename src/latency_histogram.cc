#include "src/latency_histogram.h"

#include <boost/histogram/make_histogram.hpp>

namespace acacia {
namespace {

constexpr double kMinSeconds = 0.0005;
constexpr double kMaxSeconds = 60;
// A bin spans a ratio of 1.06, so a quantile is at most 6 % too high.
constexpr int kBins = 200;
constexpr double kDecay = 0.5;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram(std::make_tuple(Axis(kBins, kMinSeconds, kMaxSeconds)),
                boost::histogram::dense_storage<float>()) {}

void LatencyHistogram::Add(Duration latency, double window) {
  if (this->count >= window) {
    this->histogram *= kDecay;
    this->count *= kDecay;
  }
  this->histogram(ToSeconds(latency));
  this->count += 1;
}

Duration LatencyHistogram::Quantile(double share) const {
  if (this->count == 0) {
    return Duration{};
  }
  // Bin -1 holds what is below the range; the bin kBins what is above it.
  double below = 0;
  int bin = -1;
  for (; bin < kBins; ++bin) {
    below += this->histogram.at(bin);
    if (below >= share * this->count) {
      break;
    }
  }
  const double edge =
      bin < kBins ? this->histogram.axis().value(bin + 1) : kMaxSeconds;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(edge));
}

}  // namespace acacia
