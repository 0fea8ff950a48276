// Creates Prometheus metrics with a single value.
#pragma once

#include <prometheus/metric_family.h>

namespace yuccaplank::runtime {

/// Returns a family with one value; Type must be Counter or Gauge.
prometheus::MetricFamily makeMetricFamily(const char *Name, const char *Help, prometheus::MetricType Type,
                                          double Value);

} // namespace yuccaplank::runtime
