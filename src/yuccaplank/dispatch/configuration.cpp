#include "yuccaplank/dispatch/configuration.hpp"

#include <boost/algorithm/string/predicate.hpp>

#include <locale>

namespace yuccaplank::dispatch {

const queue_settings *configuration::findQueue(std::string_view Host, std::string_view Path) const {
  const queue_settings *Best = nullptr;
  for (const queue_settings &Queue : Queues)
    if (Path.starts_with(Queue.PathPrefix) && (!Best || Queue.PathPrefix.size() > Best->PathPrefix.size()) &&
        boost::iequals(Queue.Host, Host, std::locale::classic()))
      Best = &Queue;
  return Best;
}

} // namespace yuccaplank::dispatch
