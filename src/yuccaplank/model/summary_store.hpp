// Latest load summary of each failure domain.
#pragma once

#include "peer.pb.h"
#include "yuccaplank/runtime/clock.hpp"

#include <map>
#include <string>

namespace yuccaplank::model {

struct summary_record {
  schema::domain_summary Summary;
  runtime::time_point MeasuredAt;

  /// Whether the summary is young enough to decide by.
  [[nodiscard]] bool usable(runtime::time_point Now) const;
  /// The summary with its age as of now.
  [[nodiscard]] schema::domain_summary aged(runtime::time_point Now) const;
};

class summary_store {
public:
  /// Takes a summary unless a younger one of its domain is known.
  void take(const schema::domain_summary &Summary, runtime::time_point Now);
  [[nodiscard]] const std::map<std::string, summary_record> &all() const { return ByDomain; }

private:
  std::map<std::string, summary_record> ByDomain;
};

} // namespace yuccaplank::model
