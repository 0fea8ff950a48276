#include "peer_reader.hpp"
#include "yuccaplank/wire/peer_protocol.hpp"

#include <algorithm>
#include <string_view>

namespace yuccaplank::wire {
namespace {

constexpr std::size_t MaxEnvelopeBytes = 64 * 1024;

peer_protocol makeProtocol(peer_role Role, const std::string &Vm, char NonceByte) {
  peer_protocol_options Options;
  Options.Role = Role;
  Options.Key = "fuzzed key";
  Options.Self.set_vm(Vm);
  Options.Self.set_started_ms(1);
  Options.Domain = "east";
  Options.Nonce = std::string(PeerNonceBytes, NonceByte);
  Options.MaxEnvelopeBytes = MaxEnvelopeBytes;
  return peer_protocol(std::move(Options));
}

void authenticate(peer_protocol &Reader, peer_protocol &Peer) {
  Reader.feed(Peer.helloFrame());
  Peer.feed(Reader.helloFrame());
  (void)Reader.next();
  (void)Peer.next();
  Reader.feed(Peer.takeHandshakeOutput());
  (void)Reader.next();
}

// Reads all available envelopes. Returns false if the reader violates one of the rules in peer_reader.hpp;
// sets Failed if the reader reports an error.
bool readEnvelopes(peer_protocol &Reader, bool KnowsKey, bool &Failed) {
  while (true) {
    auto Next = Reader.next();
    if (Reader.authenticated() && !KnowsKey)
      return false;
    Failed = !Next;
    if (Failed || !Next.value())
      return true;
    if (!KnowsKey || Next.value()->has_hello() || Next.value()->has_hello_proof())
      return false;
  }
}

} // namespace

int fuzzPeerReader(const std::uint8_t *Data, std::size_t Size) {
  if (Size == 0)
    return 0;
  unsigned Selector = Data[0];
  std::string_view Input(reinterpret_cast<const char *>(Data + 1), Size - 1);
  bool IsServer = (Selector & 1U) != 0;
  bool KnowsKey = (Selector & 2U) != 0;
  std::size_t ChunkBytes = std::size_t(1) << (3 * ((Selector >> 2U) & 7U));
  auto Reader = makeProtocol(IsServer ? peer_role::Server : peer_role::Client, "vm1", 'r');
  if (KnowsKey) {
    auto Peer = makeProtocol(IsServer ? peer_role::Client : peer_role::Server, "vm2", 'p');
    authenticate(Reader, Peer);
  }
  bool Failed = false;
  while (!Input.empty() && !Failed) {
    std::size_t Count = std::min(ChunkBytes, Input.size());
    Reader.feed(Input.substr(0, Count));
    Input.remove_prefix(Count);
    if (!readEnvelopes(Reader, KnowsKey, Failed))
      return 1;
  }
  return 0;
}

} // namespace yuccaplank::wire
