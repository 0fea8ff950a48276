// Ports of an entry node on real sockets: tasks over HTTP, envelopes over peer streams.
#pragma once

#include "link_filter.hpp"
#include "yuccaplank/node/entry_node.hpp"
#include "yuccaplank/wire/peer_link.hpp"

#include <memory>

namespace yuccaplank::daemon {

class socket_ports : public node::ports {
public:
  /// The transport is made after the ports, since its handlers need the node.
  virtual void setTransport(wire::peer_transport *Transport) = 0;
};

std::unique_ptr<socket_ports> makeSocketPorts(wire::http_client &Client);

} // namespace yuccaplank::daemon
