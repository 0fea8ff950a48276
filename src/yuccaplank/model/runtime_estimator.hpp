// Learns run times per service and task kind, and speeds of servers, from completed tasks. All estimates are
// kept as natural logarithms, in which factors and errors add up.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yuccaplank::model {

using kind_id = std::uint32_t;

/// Expected run time on a server of speed 1.
struct size_estimate {
  /// Logarithm of the median, in milliseconds.
  double Log = 0;
  /// Standard deviation of the logarithm.
  double Spread = 0;
};

/// Belief about the speed of one server.
struct speed_belief {
  double Log = 0;
  double Variance = 0.25;
  /// Consecutive observations far outside the belief, negative for slow ones.
  int Surprises = 0;
};

class runtime_estimator {
public:
  kind_id kind(std::string_view Service, std::string_view Kind);
  /// DeclaredMs 0 means not declared.
  [[nodiscard]] size_estimate estimate(kind_id Kind, double DeclaredMs) const;
  /// Takes in a task that ran to its end on a server.
  void observe(kind_id Kind, double DeclaredMs, double RunMs, speed_belief &Speed);

private:
  /// Regression of log run time on log declared time with exponential forgetting.
  struct kind_state {
    double Weight = 0;
    double MeanX = 0;
    double MeanY = 0;
    double VarianceX = 0;
    double Covariance = 0;
    double VarianceY = 0;
    [[nodiscard]] double slope() const;
    [[nodiscard]] double residualVariance() const;
  };
  [[nodiscard]] static double logDeclared(const kind_state &Kind, double DeclaredMs);

  std::unordered_map<std::string, kind_id> Names;
  std::vector<kind_state> Kinds;
  /// Mean over all kinds, the prior of undeclared tasks of unknown kinds.
  double FleetLog = 5.3;
};

} // namespace yuccaplank::model
