#include "summary_store.hpp"

namespace yuccaplank::model {
namespace {

constexpr runtime::duration MaxAge = std::chrono::seconds(10);

} // namespace

bool summary_record::usable(runtime::time_point Now) const { return Now - MeasuredAt <= MaxAge; }

schema::domain_summary summary_record::aged(runtime::time_point Now) const {
  schema::domain_summary Aged = Summary;
  Aged.set_age_ms(static_cast<std::uint32_t>(runtime::toMs(Now - MeasuredAt)));
  return Aged;
}

void summary_store::take(const schema::domain_summary &Summary, runtime::time_point Now) {
  runtime::time_point MeasuredAt = Now - std::chrono::milliseconds(Summary.age_ms());
  auto Found = ByDomain.find(Summary.domain());
  if (Found == ByDomain.end() || MeasuredAt > Found->second.MeasuredAt)
    ByDomain[Summary.domain()] = {Summary, MeasuredAt};
}

} // namespace yuccaplank::model
