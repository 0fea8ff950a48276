// HTTP client that can be cut off from addresses, to test network partitions.
#pragma once

#include "yuccaplank/wire/http_client.hpp"

#include <memory>
#include <set>
#include <string>

namespace yuccaplank::daemon {

/// Passes calls on to another client. Calls to a blocked address end as when a partition separates the hosts:
/// new ones fail to connect, those in flight lose their reply.
class link_filter : public wire::http_client {
public:
  virtual void setBlocked(std::set<std::string> Addresses) = 0;
};

std::unique_ptr<link_filter> makeLinkFilter(runtime::executor &Executor,
                                            std::unique_ptr<wire::http_client> Client);

} // namespace yuccaplank::daemon
