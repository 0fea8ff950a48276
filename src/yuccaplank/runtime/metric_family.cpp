#include "yuccaplank/runtime/metric_family.hpp"

namespace yuccaplank::runtime {

prometheus::MetricFamily makeMetricFamily(const char *Name, const char *Help, prometheus::MetricType Type,
                                          double Value) {
  prometheus::MetricFamily Family{Name, Help, Type, {}};
  prometheus::ClientMetric Metric;
  if (Type == prometheus::MetricType::Counter)
    Metric.counter.value = Value;
  else
    Metric.gauge.value = Value;
  Family.metric.push_back(Metric);
  return Family;
}

} // namespace yuccaplank::runtime
