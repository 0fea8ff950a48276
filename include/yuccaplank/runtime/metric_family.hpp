// Single values as metrics of Prometheus.
#pragma once

#include <prometheus/metric_family.h>

namespace yuccaplank::runtime {

/// A family with one value; Type is a counter or a gauge.
prometheus::MetricFamily makeMetricFamily(const char *Name, const char *Help, prometheus::MetricType Type,
                                          double Value);

} // namespace yuccaplank::runtime
