#define H2O_USE_LIBUV 0
extern "C" {
#include <h2o.h>
}

#include "peer_connection.hpp"
#include "yuccaplank/runtime/log.hpp"
#include "yuccaplank/wire/peer_link.hpp"
#include "yuccaplank/wire/socket_address.hpp"

#include <openssl/rand.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace yuccaplank::wire {
namespace {

using runtime::errc;

constexpr int ListenBacklog = 256;
// Limit for accepted connections that have not completed the handshake. It bounds the memory that
// unauthenticated clients can take.
constexpr std::size_t MaxUnauthenticatedConnections = 256;

// Prefix of keys that hold an address instead of a VM id. No VM id begins with it.
const std::string AddressKeyPrefix = "@";

bool isSameIncarnation(const schema::incarnation &Left, const schema::incarnation &Right) {
  return Left.vm() == Right.vm() && Left.started_ms() == Right.started_ms() && Left.nonce() == Right.nonce();
}

// State of one remote VM. All its connections belong to the same incarnation. Usually there is one; if both
// VMs connect at the same time, there are two. Each side then keeps sending on the connection that it
// authenticated first, so that no envelope is lost or reordered.
struct peer_state {
  schema::incarnation Incarnation;
  std::set<peer_connection *> Connections;
  peer_connection *ActiveConnection = nullptr;
  // Encoded envelopes that wait for a connection.
  std::deque<std::string> WaitingFrames;
  std::size_t WaitingBytes = 0;
  bool Connecting = false;

  void sendWaiting(peer_connection &Connection) {
    for (const std::string &Frame : WaitingFrames)
      Connection.send(Frame);
    clearWaiting();
  }
  void clearWaiting() {
    WaitingFrames.clear();
    WaitingBytes = 0;
  }
};

struct connection_entry {
  std::unique_ptr<peer_connection> Connection;
  // Key in Peers of the peer that the connection was opened to; empty for an accepted connection.
  std::string Key;
};

class transport_impl final : public peer_transport, peer_connection_owner {
public:
  transport_impl(runtime::loop &Loop, peer_transport_options InitialOptions,
                 peer_transport_handlers InitialHandlers)
      : Loop(Loop), Options(std::move(InitialOptions)), Handlers(std::move(InitialHandlers)) {}
  transport_impl(const transport_impl &) = delete;
  transport_impl &operator=(const transport_impl &) = delete;
  ~transport_impl() override {
    *Alive = false;
    if (Listener != nullptr)
      h2o_socket_close(Listener);
  }

  std::error_code listen() {
    auto Listening = listenOn(Options.Address, ListenBacklog);
    if (!Listening)
      return Listening.error();
    Port = Listening.value().Port;
    Listener = h2o_evloop_socket_create(Loop.native(), Listening.value().Fd, H2O_SOCKET_FLAG_DONT_READ);
    Listener->data = this;
    h2o_socket_read_start(
        Listener, +[](h2o_socket_t *Socket, const char *Error) {
          if (Error == nullptr)
            static_cast<transport_impl *>(Socket->data)->onAccept();
        });
    return {};
  }

  std::error_code send(const std::string &Vm, const std::string &Address, schema::envelope Message) override {
    std::string Frame = encodeEnvelope(Message);
    if (Frame.size() > Options.MaxEnvelopeBytes) {
      logPeer("peer_envelope_too_large", Vm, errc::BodyTooLarge);
      return errc::BodyTooLarge;
    }
    std::string Key = peerKey(Vm, Address);
    peer_state &Peer = Peers[Key];
    std::size_t Queued =
        Peer.ActiveConnection != nullptr ? Peer.ActiveConnection->queuedBytes() : Peer.WaitingBytes;
    if (Queued + Frame.size() > Options.MaxQueuedBytes) {
      logPeer("peer_queue_full", Vm, errc::QueueFull);
      if (Peer.ActiveConnection != nullptr)
        Peer.ActiveConnection->close(errc::QueueFull);
      return errc::QueueFull;
    }
    ++Totals.MessagesSent;
    if (Peer.ActiveConnection != nullptr) {
      Peer.ActiveConnection->send(Frame);
      return {};
    }
    Peer.WaitingBytes += Frame.size();
    Peer.WaitingFrames.push_back(std::move(Frame));
    if (!Peer.Connecting)
      connect(Key, Address, Peer);
    return {};
  }

  void disconnect(const std::string &Vm) override {
    auto Found = Peers.find(Vm);
    if (Found == Peers.end())
      return;
    Found->second.clearWaiting();
    closeConnections(Found->second, errc::PeerUnreachable);
  }

  [[nodiscard]] std::uint16_t port() const override { return Port; }
  [[nodiscard]] counters totals() const override { return Totals; }

private:
  void postGuarded(std::function<void()> Function) {
    Loop.post([Alive = Alive, Function = std::move(Function)] {
      if (*Alive)
        Function();
    });
  }

  static void logPeer(std::string_view Event, const std::string &Vm, errc Reason) {
    runtime::log(runtime::log_level::Warning, Event,
                 {{"peer", Vm}, {"reason", std::string(runtime::errcName(Reason))}});
  }

  peer_connection_options makeOptions(peer_role Role) {
    peer_connection_options Result;
    Result.Id = ++LastId;
    Result.Protocol.Role = Role;
    Result.Protocol.Key = Options.Key;
    Result.Protocol.Self = Options.Self;
    Result.Protocol.Domain = Options.Domain;
    Result.Protocol.Nonce.resize(PeerNonceBytes);
    RAND_bytes(reinterpret_cast<unsigned char *>(Result.Protocol.Nonce.data()),
               static_cast<int>(PeerNonceBytes));
    Result.Protocol.MaxEnvelopeBytes = Options.MaxEnvelopeBytes;
    Result.HandshakeTimeout = Options.ConnectTimeout;
    return Result;
  }

  // Returns the key of a peer in Peers: its id or, while the id is unknown, its address with a prefix.
  std::string peerKey(const std::string &Vm, const std::string &Address) const {
    if (!Vm.empty())
      return Vm;
    auto Found = VmsByAddress.find(Address);
    if (Found != VmsByAddress.end() && Peers.at(Found->second).ActiveConnection != nullptr)
      return Found->second;
    return AddressKeyPrefix + Address;
  }

  void connect(const std::string &Key, const std::string &Address, peer_state &Peer) {
    Peer.Connecting = true;
    peer_connection_options Connection = makeOptions(peer_role::Client);
    if (!Key.starts_with(AddressKeyPrefix))
      Connection.Vm = Key;
    Connection.Address = Address;
    std::uint64_t Id = Connection.Id;
    auto NewConnection = connectPeer(Loop, *this, std::move(Connection));
    if (NewConnection)
      Connections.emplace(Id, connection_entry{std::move(NewConnection.value()), Key});
    else
      postGuarded([this, Key, Address] { handleConnectFailure(Key, Address, errc::ConnectFailed); });
  }

  void handleConnectFailure(const std::string &Key, const std::string &Address, errc Reason) {
    peer_state &Peer = Peers[Key];
    Peer.Connecting = false;
    // The peer may have connected to this VM in the meantime.
    if (Peer.ActiveConnection != nullptr)
      return;
    Peer.clearWaiting();
    if (Handlers.OnConnectFailed)
      Handlers.OnConnectFailed(Address, Reason);
  }

  void onAccept() {
    while (h2o_socket_t *Socket = h2o_evloop_socket_accept(Listener)) {
      auto Unauthenticated = std::ranges::count_if(
          Connections, [](const auto &Item) { return !Item.second.Connection->authenticated(); });
      if (static_cast<std::size_t>(Unauthenticated) >= MaxUnauthenticatedConnections) {
        logPeer("peer_refused", "", errc::TooManyConnections);
        h2o_socket_close(Socket);
        continue;
      }
      peer_connection_options Connection = makeOptions(peer_role::Server);
      std::uint64_t Id = Connection.Id;
      Connections.emplace(Id, connection_entry{acceptPeer(Loop, *this, std::move(Connection), Socket), {}});
    }
  }

  void onAuthenticated(peer_connection &Connection) override {
    std::string Vm = Connection.vm();
    peer_state &Peer = Peers[Vm];
    // The VM has restarted, so the connections of its previous incarnation are obsolete.
    if (!Peer.Connections.empty() && !isSameIncarnation(Peer.Incarnation, Connection.peer()))
      closeConnections(Peer, errc::ConnectionLost);
    Peer.Incarnation = Connection.peer();
    Peer.Connections.insert(&Connection);
    if (Peer.ActiveConnection == nullptr)
      Peer.ActiveConnection = &Connection;
    Peer.sendWaiting(*Peer.ActiveConnection);
    if (Connection.address().empty())
      return;
    VmsByAddress[Connection.address()] = Vm;
    peer_state &Origin = Peers[Connections.at(Connection.id()).Key];
    Origin.Connecting = false;
    Origin.sendWaiting(*Peer.ActiveConnection);
  }

  void onEnvelope(peer_connection &Connection, schema::envelope Message) override {
    if (Handlers.OnMessage)
      Handlers.OnMessage(Connection.peer(), Connection.domain(), std::move(Message));
  }

  void onClosed(peer_connection &Connection, errc Reason) override {
    std::string Vm = Connection.vm();
    bool Expected = Reason == errc::ConnectionLost || Reason == errc::PeerUnreachable;
    runtime::log(Expected ? runtime::log_level::Debug : runtime::log_level::Warning, "peer_connection_closed",
                 {{"peer", Vm},
                  {"authenticated", Connection.authenticated()},
                  {"reason", std::string(runtime::errcName(Reason))}});
    postGuarded([this, Id = Connection.id()] { Connections.erase(Id); });
    auto Found = Peers.find(Vm);
    if (Found != Peers.end() && Found->second.Connections.erase(&Connection) > 0)
      onAuthenticatedClosed(Found->second, Connection, Reason);
    else if (!Connection.address().empty())
      postGuarded([this, Key = Connections.at(Connection.id()).Key, Address = Connection.address(), Reason] {
        handleConnectFailure(Key, Address, Reason);
      });
  }

  // The loss of any connection may lose envelopes, so all connections to the incarnation are closed: each
  // close() leads here again. The last one is reported.
  void onAuthenticatedClosed(peer_state &Peer, peer_connection &Connection, errc Reason) {
    if (Peer.ActiveConnection == &Connection)
      Peer.ActiveConnection = nullptr;
    if (!Peer.Connections.empty())
      return (*Peer.Connections.begin())->close(Reason);
    postGuarded([this, Incarnation = Connection.peer()] {
      if (Handlers.OnClosed)
        Handlers.OnClosed(Incarnation);
    });
  }

  void countReceived(std::size_t Bytes) override { Totals.BytesReceived += Bytes; }
  void countSent(std::size_t Bytes) override { Totals.BytesSent += Bytes; }

  static void closeConnections(peer_state &Peer, errc Reason) {
    if (!Peer.Connections.empty())
      (*Peer.Connections.begin())->close(Reason);
  }

  runtime::loop &Loop;
  peer_transport_options Options;
  peer_transport_handlers Handlers;
  h2o_socket_t *Listener = nullptr;
  std::uint16_t Port = 0;
  std::map<std::string, peer_state> Peers;
  std::map<std::string, std::string> VmsByAddress;
  std::map<std::uint64_t, connection_entry> Connections;
  std::uint64_t LastId = 0;
  counters Totals;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace

runtime::result<std::unique_ptr<peer_transport>>
makePeerTransport(runtime::loop &Loop, peer_transport_options Options, peer_transport_handlers Handlers) {
  // With an empty key, anyone could compute a valid proof.
  if (Options.Key.empty())
    return errc::MissingField;
  auto Transport = std::make_unique<transport_impl>(Loop, std::move(Options), std::move(Handlers));
  if (std::error_code Error = Transport->listen())
    return Error;
  return std::unique_ptr<peer_transport>(std::move(Transport));
}

} // namespace yuccaplank::wire
