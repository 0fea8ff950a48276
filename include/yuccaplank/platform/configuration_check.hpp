// Checks a configuration before operators send it, and compares it with the version in force.
#pragma once

#include "yuccaplank/dispatch/configuration.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::platform {

/// Error: VMs reject or ignore the configuration, it refuses every job, or its queues are ambiguous.
/// Warning: an entry or a limit has no effect, or cannot be met.
/// Change: a difference from the version in force.
enum class finding_level : std::uint8_t { Error, Warning, Change };

struct configuration_finding {
  finding_level Level = finding_level::Error;
  /// Field of the document, for example "routes[1].stretch"; empty for the whole document.
  std::string Path;
  std::string Text;
};

/// A configuration with the parts that VMs do not read.
struct configuration_document {
  dispatch::configuration Configuration;
  /// Names of the services; nullopt if the document has no such list.
  std::optional<std::vector<std::string>> Services;
  /// Fields that are missing, have the wrong type or are out of range. If there are any, the other members
  /// are incomplete.
  std::vector<configuration_finding> Errors;
};

/// Decodes the operators' configuration.
configuration_document readConfigurationDocument(std::string_view Text);

struct configuration_check_options {
  /// Limit of the VMs on a request's body, from their setting limits.body_bytes. The default is the
  /// setting's.
  std::size_t VmBodyBytes = 256U << 10U;
};

/// Checks a document and, if InForce is not null, compares it with the one in force. If a document has errors
/// of its own, only these are returned, because checks of an incomplete configuration would be misleading.
std::vector<configuration_finding> checkConfiguration(const configuration_document &Document,
                                                      const configuration_document *InForce,
                                                      const configuration_check_options &Options = {});

/// Formats a finding as a line such as "warning: routes[1].stretch: 0.5 is below 1".
std::string formatFinding(const configuration_finding &Finding);
/// Formats a finding as a JSON object with the fields level, path and text.
std::string formatFindingJson(const configuration_finding &Finding);

} // namespace yuccaplank::platform
