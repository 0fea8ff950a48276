#include "evacuation_rows.hpp"
#include "yuccaplank/platform/documents.hpp"
#include "yuccaplank/runtime/log.hpp"

namespace yuccaplank::entry {

std::string evacuation_rows::keyOf(const std::string &Domain) {
  return std::string(platform::EvacuationKeyPrefix) + Domain;
}

schema::evacuation_state evacuation_rows::read(const std::map<std::string, platform::store_row> &Rows,
                                               std::uint64_t Version) {
  schema::evacuation_state State;
  State.set_source(Source);
  State.set_version(Version);
  for (const auto &[Key, Row] : Rows) {
    if (!isEvacuationKey(Key))
      continue;
    auto Domain = platform::decodeEvacuation(Key, Row.Value);
    if (!Domain)
      ignore(Row, "unreadable");
    else if (!isKnown(Domain.value()))
      ignore(Row, "unknown_domain");
    else
      State.add_domains(Domain.value());
  }
  return State;
}

void evacuation_rows::ignore(const platform::store_row &Row, const char *Reason) {
  if (!IgnoredRows.emplace(Row.Key, Row.Version).second)
    return;
  runtime::log(runtime::log_level::Warning, "evacuation_ignored",
               {{"key", Row.Key}, {"reason", std::string(Reason)}});
}

} // namespace yuccaplank::entry
