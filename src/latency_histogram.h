// The latencies of one route's requests, in bins of equal ratio. Older
// observations lose weight as newer ones arrive, so that the histogram covers
// about the last `window` observations whatever the request rate is.
#ifndef SRC_LATENCY_HISTOGRAM_H_
#define SRC_LATENCY_HISTOGRAM_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <tuple>
#include <vector>

#include "src/clock.h"

namespace acacia {

class LatencyHistogram {
 public:
  LatencyHistogram();

  // Weights are halved whenever their sum reaches `window`.
  void Add(Duration latency, double window);
  // The sum of the weights; the latest observation weighs 1.
  double Count() const { return this->count; }
  // Returns the upper edge of the bin that holds the given share (0 to 1) of
  // the observations; zero when empty.
  Duration Quantile(double share) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::dense_storage<float>>;

  Histogram histogram;
  double count = 0;
};

}  // namespace acacia

#endif  // SRC_LATENCY_HISTOGRAM_H_
