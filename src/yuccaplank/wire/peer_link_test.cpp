#include "peer_protocol.hpp"
#include "yuccaplank/testing/sockets.hpp"
#include "yuccaplank/testing/test_case.hpp"
#include "yuccaplank/wire/peer_link.hpp"

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using namespace yuccaplank;
using namespace yuccaplank::wire;
using yuccaplank::testing::runFor;
using yuccaplank::testing::runUntil;
using yuccaplank::testing::section;
using yuccaplank::testing::test_case;

namespace {

schema::incarnation makeIncarnation(const std::string &Vm, std::int64_t StartedMs = 1) {
  schema::incarnation Value;
  Value.set_vm(Vm);
  Value.set_started_ms(StartedMs);
  return Value;
}

schema::envelope makeProbe(std::uint64_t Sequence) {
  schema::envelope Message;
  Message.mutable_dispatch()->mutable_cancel()->set_job(Sequence);
  return Message;
}

// The transport of one VM, with the events it has reported.
struct test_vm {
  test_vm(runtime::loop &Loop, peer_transport_options Options) : Name(Options.Self.vm()) {
    peer_transport_handlers Handlers;
    Handlers.OnMessage = [this](const schema::incarnation &From, const std::string &Domain,
                                schema::envelope Message) {
      CPPUNIT_ASSERT_EQUAL(std::string("east"), Domain);
      Senders.push_back(From);
      Messages.push_back(std::move(Message));
    };
    Handlers.OnClosed = [this](const schema::incarnation &Peer) { Closed.push_back(Peer); };
    Handlers.OnConnectFailed = [this](const std::string &, std::error_code Error) {
      Failures.push_back(Error);
    };
    Transport = makePeerTransport(Loop, std::move(Options), std::move(Handlers)).value();
  }
  std::error_code send(const test_vm &To, schema::envelope Message) const {
    return Transport->send(To.Name, To.address(), std::move(Message));
  }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(Transport->port()); }
  // Returns whether exactly the probes 0 to Count-1 have arrived; fails if they are not in order.
  [[nodiscard]] bool receivedProbes(std::uint64_t Count) const {
    for (std::size_t Index = 0; Index < Messages.size(); ++Index)
      CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(Index), Messages[Index].dispatch().cancel().job());
    return Messages.size() == Count;
  }

  std::string Name;
  std::vector<schema::incarnation> Senders;
  std::vector<schema::envelope> Messages;
  std::vector<schema::incarnation> Closed;
  std::vector<std::error_code> Failures;
  std::unique_ptr<peer_transport> Transport;
};

peer_transport_options makeOptions(const std::string &Vm, std::int64_t StartedMs = 1) {
  peer_transport_options Options;
  Options.Address = "127.0.0.1:0";
  Options.Key = "shared key";
  Options.Self = makeIncarnation(Vm, StartedMs);
  Options.Domain = "east";
  return Options;
}

// Guards against lost, repeated, reordered and damaged envelopes, and against envelopes that are attributed
// to the wrong incarnation.
const test_case Delivery("peer link: delivery", [] {
  auto Loop = runtime::makeLoop();
  test_vm First(*Loop, makeOptions("vm1"));
  test_vm Second(*Loop, makeOptions("vm2", 77));
  if (auto Given = section("given one sender")) {
    for (std::uint64_t Index = 0; Index < 5000; ++Index)
      CPPUNIT_ASSERT(!First.send(Second, makeProbe(Index)));
    runUntil(*Loop, [&] { return Second.receivedProbes(5000); });
    CPPUNIT_ASSERT_EQUAL(std::string("vm1"), Second.Senders.front().vm());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5000), First.Transport->totals().MessagesSent);
    if (auto When = section("when the other VM answers")) {
      Second.send(First, makeProbe(0));
      runUntil(*Loop, [&] { return First.receivedProbes(1); });
      CPPUNIT_ASSERT_EQUAL(std::int64_t(77), First.Senders.front().started_ms());
    }
    if (auto When = section("when a large envelope follows")) {
      schema::envelope Large;
      Large.mutable_dispatch()->mutable_start()->set_specification(std::string(24U << 20U, 'p'));
      Second.Messages.clear();
      First.send(Second, Large);
      runUntil(*Loop, [&] { return !Second.Messages.empty(); });
      CPPUNIT_ASSERT(Second.Messages.front().SerializeAsString() == Large.SerializeAsString());
    }
  }
  if (auto Given = section("given two VMs that connect at the same time")) {
    for (std::uint64_t Index = 0; Index < 1000; ++Index) {
      First.send(Second, makeProbe(Index));
      Second.send(First, makeProbe(Index));
    }
    runUntil(*Loop, [&] { return First.receivedProbes(1000) && Second.receivedProbes(1000); });
    for (std::uint64_t Index = 1000; Index < 2000; ++Index) {
      First.send(Second, makeProbe(Index));
      Second.send(First, makeProbe(Index));
    }
    runUntil(*Loop, [&] { return First.receivedProbes(2000) && Second.receivedProbes(2000); });
    CPPUNIT_ASSERT(First.Failures.empty() && First.Closed.empty());
    if (auto When = section("when one VM disconnects")) {
      First.Transport->disconnect("vm2");
      runUntil(*Loop, [&] { return First.Closed.size() == 1 && Second.Closed.size() == 1; });
      runFor(*Loop, 20ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), First.Closed.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Second.Closed.size());
    }
  }
});

// Guards against a new VM that cannot reach the seeds, of which it knows only the addresses, and against
// answers that do not reach the new VM.
const test_case UnknownPeers("peer link: VMs with unknown id or address", [] {
  auto Loop = runtime::makeLoop();
  test_vm First(*Loop, makeOptions("vm1"));
  test_vm Second(*Loop, makeOptions("vm2"));
  if (auto Given = section("given only the address of a VM")) {
    for (std::uint64_t Index = 0; Index < 3; ++Index)
      First.Transport->send("", Second.address(), makeProbe(Index));
    runUntil(*Loop, [&] { return Second.receivedProbes(3); });
    First.Transport->send("", Second.address(), makeProbe(3));
    First.send(Second, makeProbe(4));
    Second.Transport->send("vm1", "", makeProbe(0));
    runUntil(*Loop, [&] { return Second.receivedProbes(5) && First.receivedProbes(1); });
    First.Transport->disconnect("vm2");
    runUntil(*Loop, [&] { return First.Closed.size() == 1 && Second.Closed.size() == 1; });
    CPPUNIT_ASSERT(First.Failures.empty() && Second.Failures.empty());
    First.Transport->send("", Second.address(), makeProbe(5));
    runUntil(*Loop, [&] { return Second.receivedProbes(6); });
  }
  if (auto Given = section("given the address of the sender, or the id of a VM that is not connected")) {
    First.Transport->send("", First.address(), makeProbe(0));
    First.Transport->send("vm2", "", makeProbe(0));
    runUntil(*Loop, [&] { return First.Failures.size() == 2; });
    CPPUNIT_ASSERT(First.Messages.empty() && Second.Messages.empty());
  }
});

// Guards against a sender that waits forever for a connection that has ended, or that mistakes an ended
// incarnation for its successor.
const test_case ConnectionEnds("peer link: closed and failed connections", [] {
  auto Loop = runtime::makeLoop();
  test_vm First(*Loop, makeOptions("vm1"));
  auto Second = std::make_unique<test_vm>(*Loop, makeOptions("vm2", 10));
  if (auto Given = section("given a VM that restarts at the same address")) {
    First.send(*Second, makeProbe(0));
    runUntil(*Loop, [&] { return Second->receivedProbes(1); });
    auto Options = makeOptions("vm2", 20);
    Options.Address = Second->address();
    Second.reset();
    Second = std::make_unique<test_vm>(*Loop, Options);
    runUntil(*Loop, [&] { return First.Closed.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::int64_t(10), First.Closed.front().started_ms());
    First.send(*Second, makeProbe(0));
    runUntil(*Loop, [&] { return Second->receivedProbes(1); });
    Second->send(First, makeProbe(0));
    runUntil(*Loop, [&] { return First.receivedProbes(1); });
    CPPUNIT_ASSERT_EQUAL(std::int64_t(20), First.Senders.front().started_ms());
  }
  if (auto Given = section("given a restarted VM that connects before its previous connection has closed")) {
    First.send(*Second, makeProbe(0));
    runUntil(*Loop, [&] { return Second->receivedProbes(1); });
    test_vm Successor(*Loop, makeOptions("vm2", 20));
    Successor.send(First, makeProbe(0));
    runUntil(*Loop, [&] { return First.receivedProbes(1) && First.Closed.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::int64_t(10), First.Closed.front().started_ms());
    First.send(Successor, makeProbe(0));
    runUntil(*Loop, [&] { return Successor.receivedProbes(1); });
  }
  if (auto Given = section("given an address without a listener")) {
    std::string Address = Second->address();
    Second.reset();
    First.Transport->send("vm2", Address, makeProbe(0));
    runUntil(*Loop, [&] { return First.Failures.size() == 1; });
    CPPUNIT_ASSERT(First.Failures.front() == runtime::errc::ConnectFailed);
  }
  if (auto Given = section("given malformed addresses")) {
    for (const char *Address : {"", ":1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "host:1", "[::1:1"}) {
      First.Failures.clear();
      First.Transport->send("vm3", Address, makeProbe(0));
      runUntil(*Loop, [&] { return First.Failures.size() == 1; });
    }
  }
  if (auto Given = section("given another VM at the expected address")) {
    First.Transport->send("vm3", Second->address(), makeProbe(0));
    runUntil(*Loop, [&] { return First.Failures.size() == 1; });
    CPPUNIT_ASSERT(First.Failures.front() == runtime::errc::PeerRejected);
    CPPUNIT_ASSERT(Second->Messages.empty());
    First.send(*Second, makeProbe(0));
    runUntil(*Loop, [&] { return Second->receivedProbes(1); });
  }
  if (auto Given = section("given the address of the sender")) {
    First.Transport->send("vm1", First.address(), makeProbe(0));
    runUntil(*Loop, [&] { return First.Failures.size() == 1; });
    CPPUNIT_ASSERT(First.Messages.empty());
  }
});

// Guards against envelopes that are accepted from or sent to peers that do not know the key.
const test_case Authentication("peer link: authentication", [] {
  auto Loop = runtime::makeLoop();
  test_vm First(*Loop, makeOptions("vm1"));
  if (auto Given = section("given a peer with another key")) {
    auto Options = makeOptions("vm2");
    Options.Key = "another key";
    test_vm Second(*Loop, Options);
    First.send(Second, makeProbe(0));
    Second.send(First, makeProbe(0));
    runUntil(*Loop, [&] { return First.Failures.size() == 1 && Second.Failures.size() == 1; });
    CPPUNIT_ASSERT(First.Messages.empty() && Second.Messages.empty());
    CPPUNIT_ASSERT(First.Closed.empty() && Second.Closed.empty());
  }
  if (auto Given = section("given an empty key")) {
    auto Options = makeOptions("vm2");
    Options.Key.clear();
    CPPUNIT_ASSERT(!makePeerTransport(*Loop, Options, {}));
  }
});

// Opens a TCP connection and sends bytes; returns the file descriptor.
int connectAndSend(std::uint16_t Port, const std::string &Bytes) {
  int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CPPUNIT_ASSERT_EQUAL(0, connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)));
  CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(Bytes.size()),
                       ::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL));
  return Fd;
}

// Discards received bytes; returns whether the peer has closed the connection.
bool closedByPeer(int Fd) {
  std::string Buffer(4096, '\0');
  ssize_t Count = 1;
  while (Count > 0)
    Count = recv(Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
  return Count == 0 || errno == ECONNRESET;
}

// Guards against unauthenticated clients that crash a VM, keep connections open, or take its memory by
// sending invalid input.
const test_case InvalidClients("peer link: invalid input from unauthenticated clients", [] {
  auto Loop = runtime::makeLoop();
  auto Options = makeOptions("vm1");
  Options.ConnectTimeout = 100ms;
  test_vm First(*Loop, Options);
  std::string Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  std::string Settings("\0\0\0\4\0\0\0\0\0", 9);
  for (const std::string &Bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(), Preface, Preface + Settings,
        Preface + std::string("\xff\xff\xff\0\0\0\0\0\1", 9), std::string(200'000, '\xff')}) {
    int Fd = connectAndSend(First.Transport->port(), Bytes);
    runUntil(*Loop, [&] { return closedByPeer(Fd); });
    close(Fd);
  }
});

// Guards against idle unauthenticated clients that take all connections of a VM.
const test_case UnauthenticatedConnections("peer link: limit of unauthenticated connections", [] {
  auto Loop = runtime::makeLoop();
  auto Options = makeOptions("vm1");
  Options.ConnectTimeout = 10min;
  test_vm First(*Loop, Options);
  constexpr std::ptrdiff_t Surplus = 44;
  std::vector<int> Sockets;
  for (std::ptrdiff_t Index = 0; Index < 256 + Surplus; ++Index) {
    Sockets.push_back(connectAndSend(First.Transport->port(), ""));
    runFor(*Loop, 1ms);
  }
  runUntil(*Loop, [&] { return std::ranges::count_if(Sockets, closedByPeer) == Surplus; });
  for (int Fd : Sockets)
    close(Fd);
  test_vm Second(*Loop, makeOptions("vm2"));
  Second.send(First, makeProbe(0));
  runUntil(*Loop, [&] {
    // The first attempts may fail, because the VM has not yet detected that the other connections are closed.
    if (!std::exchange(Second.Failures, {}).empty())
      Second.send(First, makeProbe(0));
    return First.receivedProbes(1);
  });
});

// Guards against oversized envelopes, and against a queue that grows without bound while a peer does not
// read.
const test_case SizeLimits("peer link: size limits", [] {
  auto Loop = runtime::makeLoop();
  auto Options = makeOptions("vm1");
  Options.MaxEnvelopeBytes = 10'000;
  Options.MaxQueuedBytes = 20'000;
  test_vm First(*Loop, Options);
  test_vm Second(*Loop, makeOptions("vm2"));
  schema::envelope Large;
  Large.mutable_dispatch()->mutable_start()->set_specification(std::string(9'000, 'x'));
  if (auto Given = section("given an envelope above the limit")) {
    Large.mutable_dispatch()->mutable_start()->set_specification(std::string(11'000, 'x'));
    CPPUNIT_ASSERT(First.send(Second, Large) == runtime::errc::BodyTooLarge);
    Second.send(First, Large);
    runUntil(*Loop, [&] { return Second.Closed.size() == 1; });
    CPPUNIT_ASSERT(First.Messages.empty());
  }
  if (auto Given = section("given a full queue before the connection is established")) {
    CPPUNIT_ASSERT(!First.send(Second, Large));
    CPPUNIT_ASSERT(!First.send(Second, Large));
    CPPUNIT_ASSERT(First.send(Second, Large) == runtime::errc::QueueFull);
    runUntil(*Loop, [&] { return Second.Messages.size() == 2; });
  }
  if (auto Given = section("given a full queue on an established connection")) {
    First.send(Second, makeProbe(0));
    runUntil(*Loop, [&] { return Second.receivedProbes(1); });
    CPPUNIT_ASSERT(!First.send(Second, Large));
    CPPUNIT_ASSERT(!First.send(Second, Large));
    CPPUNIT_ASSERT(First.send(Second, Large) == runtime::errc::QueueFull);
    runUntil(*Loop, [&] { return First.Closed.size() == 1; });
  }
});

peer_protocol makeProtocol(peer_role Role, const std::string &Vm, char NonceByte) {
  peer_protocol_options Options;
  Options.Role = Role;
  Options.Key = "shared key";
  Options.Self = makeIncarnation(Vm);
  Options.Domain = "east";
  Options.Nonce = std::string(PeerNonceBytes, NonceByte);
  Options.MaxEnvelopeBytes = 10'000;
  return peer_protocol(std::move(Options));
}

// Guards against peers that pass the handshake without knowing the key.
const test_case Handshake("peer protocol: handshake", [] {
  auto Client = makeProtocol(peer_role::Client, "vm1", 'c');
  auto Server = makeProtocol(peer_role::Server, "vm2", 's');
  auto Rejected = [](peer_protocol &Protocol, const std::string &Bytes) {
    Protocol.feed(Bytes);
    auto Next = Protocol.next();
    return !Next && Next.error() == runtime::errc::PeerRejected && !Protocol.authenticated();
  };
  if (auto Given = section("given an envelope before the hello")) {
    CPPUNIT_ASSERT(Rejected(Server, encodeEnvelope(makeProbe(1))));
  }
  if (auto Given = section("given a hello with this VM's own id, with a short nonce, or without a VM id")) {
    CPPUNIT_ASSERT(Rejected(Server, makeProtocol(peer_role::Client, "vm2", 'c').helloFrame()));
    auto Other = makeProtocol(peer_role::Server, "vm2", 's');
    schema::envelope Message;
    *Message.mutable_hello()->mutable_self() = makeIncarnation("vm1");
    Message.mutable_hello()->set_nonce("short");
    CPPUNIT_ASSERT(Rejected(Other, encodeEnvelope(Message)));
    auto Third = makeProtocol(peer_role::Server, "vm2", 's');
    CPPUNIT_ASSERT(Rejected(Third, makeProtocol(peer_role::Client, "", 'c').helloFrame()));
  }
  if (auto Given = section("given hellos from both sides")) {
    Client.feed(Server.helloFrame());
    Server.feed(Client.helloFrame());
    CPPUNIT_ASSERT(!Client.next().value() && !Server.next().value());
    std::string ClientProof = Client.takeHandshakeOutput();
    std::string ServerProof = Server.takeHandshakeOutput();
    if (auto When = section("when valid proofs follow")) {
      Server.feed(ClientProof + encodeEnvelope(makeProbe(5)));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Server.next().value()->dispatch().cancel().job());
      Client.feed(ServerProof);
      CPPUNIT_ASSERT(!Client.next().value());
      CPPUNIT_ASSERT(Client.authenticated() && Server.authenticated());
      if (auto Then = section("then a second handshake is an error")) {
        Server.feed(Client.helloFrame());
        CPPUNIT_ASSERT(Server.next().error() == runtime::errc::MalformedDocument);
      }
      if (auto Then = section("then an oversized or unparsable envelope is an error")) {
        Server.feed("\xff\xff\x7f");
        CPPUNIT_ASSERT(Server.next().error() == runtime::errc::BodyTooLarge);
        Client.feed("\x02\xff\xff");
        CPPUNIT_ASSERT(Client.next().error() == runtime::errc::MalformedDocument);
      }
      if (auto Then = section("then a length prefix that does not end is an error")) {
        Server.feed("\xff\xff\xff\xff\xff\xff");
        CPPUNIT_ASSERT(!Server.next());
      }
      if (auto Then = section("then an envelope of an unknown type is skipped")) {
        Server.feed(std::string("\x04\xfa\x06\x01x", 5) + encodeEnvelope(makeProbe(6)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), Server.next().value()->dispatch().cancel().job());
      }
    }
    if (auto When = section("when a proof is reflected to its sender")) {
      CPPUNIT_ASSERT(Rejected(Server, ServerProof));
    }
    if (auto When = section("when an envelope or a second hello comes before the proof")) {
      CPPUNIT_ASSERT(Rejected(Server, encodeEnvelope(makeProbe(1))));
      CPPUNIT_ASSERT(Rejected(Client, Server.helloFrame()));
    }
    if (auto When = section("when the proof is empty or too short")) {
      schema::envelope Message;
      Message.mutable_hello_proof();
      CPPUNIT_ASSERT(Rejected(Server, encodeEnvelope(Message)));
      Message.mutable_hello_proof()->set_hmac(std::string(31, 'x'));
      CPPUNIT_ASSERT(Rejected(Client, encodeEnvelope(Message)));
    }
    if (auto When = section("when a recorded proof is replayed on another connection")) {
      auto Replayed = makeProtocol(peer_role::Server, "vm2", 't');
      CPPUNIT_ASSERT(Rejected(Replayed, Client.helloFrame() + ClientProof));
    }
    if (auto When = section("when a recorded proof is used with another identity")) {
      auto Same = makeProtocol(peer_role::Server, "vm2", 's');
      CPPUNIT_ASSERT(Rejected(Same, makeProtocol(peer_role::Client, "vm3", 'c').helloFrame() + ClientProof));
    }
  }
});

} // namespace
