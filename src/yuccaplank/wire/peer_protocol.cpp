#include "peer_protocol.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/stubs/logging.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace yuccaplank::wire {
namespace {

using runtime::errc;

constexpr std::string_view ProofLabel = "yuccaplank peer proof 1";
// A hello consists of two names, a nonce and two numbers. Nothing larger is buffered before authentication.
constexpr std::size_t MaxHandshakeBytes = 1024;
constexpr std::size_t MaxLengthBytes = 5;
// Consumed input is discarded once it reaches this size, so that the buffer is not moved for each small
// envelope.
constexpr std::size_t MinCompactBytes = 64 * 1024;

void appendField(std::string &Text, std::string_view Field) {
  std::uint64_t Size = Field.size();
  for (int Shift = 56; Shift >= 0; Shift -= 8)
    Text.push_back(static_cast<char>(Size >> Shift));
  Text.append(Field);
}

std::string hmacSha256(const std::string &Key, const std::string &Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(), Digest.data(), &Size);
  return {reinterpret_cast<const char *>(Digest.data()), Size};
}

bool equalInConstantTime(const std::string &Left, const std::string &Right) {
  return Left.size() == Right.size() && CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

peer_role otherRole(peer_role Role) {
  return Role == peer_role::Client ? peer_role::Server : peer_role::Client;
}

// By default protobuf writes a line of plain text to standard error for each malformed string, so that any
// client could flood the log.
void redirectProtobufLog() {
  static const auto Previous = google::protobuf::SetLogHandler(
      [](google::protobuf::LogLevel, const char *, int, const std::string &Text) {
        runtime::log(runtime::log_level::Debug, "protobuf", {{"message", Text}});
      });
  (void)Previous;
}

} // namespace

std::string encodeEnvelope(const schema::envelope &Message) {
  std::string Frame;
  google::protobuf::io::StringOutputStream Stream(&Frame);
  google::protobuf::io::CodedOutputStream Coded(&Stream);
  Coded.WriteVarint32(static_cast<std::uint32_t>(Message.ByteSizeLong()));
  Message.SerializeWithCachedSizes(&Coded);
  Coded.Trim();
  return Frame;
}

peer_protocol::peer_protocol(peer_protocol_options InitialOptions) : Options(std::move(InitialOptions)) {
  redirectProtobufLog();
  schema::envelope Message;
  auto *Hello = Message.mutable_hello();
  *Hello->mutable_self() = Options.Self;
  Hello->set_domain(Options.Domain);
  Hello->set_nonce(Options.Nonce);
  LocalHelloBytes = Message.SerializeAsString();
}

std::string peer_protocol::helloFrame() const {
  // The proof covers exactly these bytes, so the hello must not be serialized a second time.
  std::string Frame;
  google::protobuf::io::StringOutputStream Stream(&Frame);
  google::protobuf::io::CodedOutputStream Coded(&Stream);
  Coded.WriteVarint32(static_cast<std::uint32_t>(LocalHelloBytes.size()));
  Coded.WriteString(LocalHelloBytes);
  Coded.Trim();
  return Frame;
}

void peer_protocol::feed(std::string_view Data) {
  compactInput();
  Input.append(Data);
}

std::string peer_protocol::takeHandshakeOutput() { return std::exchange(Reply, {}); }

runtime::result<std::optional<schema::envelope>> peer_protocol::next() {
  while (true) {
    auto Frame = nextFrame();
    if (!Frame)
      return Frame.error();
    if (!Frame.value())
      return std::optional<schema::envelope>();
    std::string_view Body =
        std::string_view(Input).substr(ConsumedBytes + Frame.value()->HeaderBytes, Frame.value()->BodyBytes);
    schema::envelope Message;
    if (!Message.ParseFromArray(Body.data(), static_cast<int>(Body.size())))
      return errc::MalformedDocument;
    bool InHandshake = !Authenticated;
    if (InHandshake) {
      if (auto Result = onHandshake(Message, Body); !Result)
        return Result.error();
    } else if (Message.has_hello() || Message.has_hello_proof()) {
      return errc::MalformedDocument;
    }
    ConsumedBytes += Frame.value()->HeaderBytes + Frame.value()->BodyBytes;
    // Envelopes of an unknown type are skipped, so that VMs of different versions can communicate.
    if (!InHandshake && Message.body_case() != schema::envelope::BODY_NOT_SET)
      return std::optional<schema::envelope>(std::move(Message));
  }
}

runtime::result<std::optional<peer_protocol::frame>> peer_protocol::nextFrame() const {
  frame Frame;
  std::uint64_t Size = 0;
  while (true) {
    if (ConsumedBytes + Frame.HeaderBytes == Input.size())
      return std::optional<frame>();
    if (Frame.HeaderBytes == MaxLengthBytes)
      return errc::MalformedDocument;
    auto Byte = static_cast<unsigned char>(Input[ConsumedBytes + Frame.HeaderBytes]);
    Size |= static_cast<std::uint64_t>(Byte & 0x7FU) << (7 * Frame.HeaderBytes++);
    if (Byte < 0x80U)
      break;
  }
  if (Size > (Authenticated ? Options.MaxEnvelopeBytes : MaxHandshakeBytes))
    return errc::BodyTooLarge;
  Frame.BodyBytes = Size;
  if (Input.size() - ConsumedBytes - Frame.HeaderBytes < Frame.BodyBytes)
    return std::optional<frame>();
  return std::optional<frame>(Frame);
}

runtime::result<void> peer_protocol::onHandshake(const schema::envelope &Message, std::string_view Body) {
  if (!Peer && Message.has_hello())
    return onHello(Message.hello(), Body);
  if (!Peer || !Message.has_hello_proof())
    return errc::PeerRejected;
  if (!equalInConstantTime(Message.hello_proof().hmac(), computeProof(otherRole(Options.Role))))
    return errc::PeerRejected;
  Authenticated = true;
  return runtime::result<void>(BOOST_OUTCOME_V2_NAMESPACE::in_place_type<void>);
}

runtime::result<void> peer_protocol::onHello(const schema::hello &Hello, std::string_view Body) {
  bool Valid = !Hello.self().vm().empty() && Hello.self().vm() != Options.Self.vm() &&
               Hello.nonce().size() == PeerNonceBytes && Hello.nonce() != Options.Nonce;
  if (!Valid)
    return errc::PeerRejected;
  Peer = Hello;
  PeerHelloBytes = Body;
  schema::envelope Answer;
  Answer.mutable_hello_proof()->set_hmac(computeProof(Options.Role));
  Reply += encodeEnvelope(Answer);
  return runtime::result<void>(BOOST_OUTCOME_V2_NAMESPACE::in_place_type<void>);
}

// The role prevents a proof from being reflected to its sender. The hellos bind the proof to the nonces and
// the incarnations.
std::string peer_protocol::computeProof(peer_role Prover) const {
  bool IsClient = Options.Role == peer_role::Client;
  std::string Text;
  appendField(Text, ProofLabel);
  appendField(Text, Prover == peer_role::Client ? "client" : "server");
  appendField(Text, IsClient ? LocalHelloBytes : PeerHelloBytes);
  appendField(Text, IsClient ? PeerHelloBytes : LocalHelloBytes);
  return hmacSha256(Options.Key, Text);
}

void peer_protocol::compactInput() {
  if (ConsumedBytes != Input.size() && ConsumedBytes < MinCompactBytes)
    return;
  Input.erase(0, ConsumedBytes);
  ConsumedBytes = 0;
  if (Input.empty() && Input.capacity() > MinCompactBytes)
    Input.shrink_to_fit();
}

} // namespace yuccaplank::wire
