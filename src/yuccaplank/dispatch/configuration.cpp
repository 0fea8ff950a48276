#include "yuccaplank/dispatch/configuration.hpp"

namespace yuccaplank::dispatch {

const queue_settings *configuration::findQueue(std::string_view Host, std::string_view Path) const {
  const queue_settings *Best = nullptr;
  for (const queue_settings &Queue : Queues)
    if (Queue.Host == Host && Path.starts_with(Queue.PathPrefix) &&
        (!Best || Queue.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Queue;
  return Best;
}

} // namespace yuccaplank::dispatch
