#define H2O_USE_LIBUV 0
extern "C" {
#include <h2o.h>
}

#include "peer_connection.hpp"
#include "yuccaplank/wire/socket_address.hpp"

#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace yuccaplank::wire {
namespace {

using runtime::errc;

// Flow-control window, large enough that no envelope of allowed size has to wait for window updates.
constexpr std::int32_t WindowBytes = 64 << 20;
// Limit for the bytes of one socket write.
constexpr std::size_t MaxWriteBytes = 512 * 1024;
// Empty buffers with a larger capacity are freed, so that 100 connections of a VM fit into 128 MB.
constexpr std::size_t MaxRetainedBufferBytes = 64 * 1024;

void clearBuffer(std::string &Buffer) {
  Buffer.clear();
  if (Buffer.capacity() > MaxRetainedBufferBytes)
    Buffer.shrink_to_fit();
}

nghttp2_nv makeHeader(std::string_view Name, std::string_view Value) {
  auto Bytes = [](std::string_view Text) {
    return const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(Text.data()));
  };
  return {Bytes(Name), Bytes(Value), Name.size(), Value.size(), NGHTTP2_NV_FLAG_NONE};
}

class connection_impl final : public peer_connection {
public:
  connection_impl(runtime::loop &Loop, peer_connection_owner &Owner, peer_connection_options InitialOptions)
      : Loop(Loop), Owner(Owner), Options(std::move(InitialOptions)), Protocol(Options.Protocol) {
    Timer = Loop.after(Options.HandshakeTimeout, [this] {
      Timer = 0;
      close(errc::RequestTimeout);
    });
    Output = Protocol.helloFrame();
  }
  connection_impl(const connection_impl &) = delete;
  connection_impl &operator=(const connection_impl &) = delete;
  ~connection_impl() override {
    *Alive = false;
    Loop.cancel(Timer);
    if (Socket != nullptr)
      h2o_socket_close(Socket);
    nghttp2_session_del(Session);
  }

  void connect(const socket_address &Address) {
    socket_address Copy = Address;
    Socket = h2o_socket_connect(
        Loop.native(), Copy.get(), Copy.Length, +[](h2o_socket_t *Socket, const char *Error) {
          static_cast<connection_impl *>(Socket->data)->onConnected(Error);
        });
    if (Socket != nullptr)
      Socket->data = this;
    else
      postGuarded([this] { close(errc::ConnectFailed); });
  }

  void attach(h2o_socket_t *Accepted) {
    Socket = Accepted;
    Socket->data = this;
    startSession();
  }

  void send(std::string_view Frame) override {
    if (Closed)
      return;
    Output.append(Frame);
    scheduleFlush();
  }

  void close(errc Reason) override {
    if (Closed)
      return;
    Closed = true;
    Loop.cancel(std::exchange(Timer, 0));
    if (Socket != nullptr)
      h2o_socket_read_stop(Socket);
    Owner.onClosed(*this, Reason);
  }

  [[nodiscard]] std::uint64_t id() const override { return Options.Id; }
  [[nodiscard]] bool closed() const override { return Closed; }
  [[nodiscard]] bool authenticated() const override { return Protocol.authenticated(); }
  [[nodiscard]] const schema::incarnation &peer() const override { return peerHello().self(); }
  [[nodiscard]] const std::string &domain() const override { return peerHello().domain(); }
  [[nodiscard]] const std::string &address() const override { return Options.Address; }
  [[nodiscard]] std::string vm() const override { return Options.Vm.empty() ? peer().vm() : Options.Vm; }
  [[nodiscard]] std::size_t queuedBytes() const override {
    return Output.size() - OutputSent + WriteBuffer.size();
  }

private:
  [[nodiscard]] const schema::hello &peerHello() const {
    return Protocol.peer() ? *Protocol.peer() : schema::hello::default_instance();
  }
  [[nodiscard]] bool isClient() const { return Options.Protocol.Role == peer_role::Client; }

  void postGuarded(std::function<void()> Function) {
    Loop.post([Alive = Alive, Function = std::move(Function)] {
      if (*Alive)
        Function();
    });
  }

  void onConnected(const char *Error) {
    if (Closed)
      return;
    if (Error != nullptr)
      close(errc::ConnectFailed);
    else
      startSession();
  }

  void startSession() {
    int Enable = 1;
    setsockopt(h2o_socket_get_fd(Socket), IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
    createSession();
    std::array<nghttp2_settings_entry, 2> Settings{{
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes},
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
    }};
    nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, Settings.data(), Settings.size());
    nghttp2_session_set_local_window_size(Session, NGHTTP2_FLAG_NONE, 0, WindowBytes);
    if (isClient())
      submitRequest();
    startReading();
    scheduleFlush();
  }

  void createSession() {
    nghttp2_session_callbacks *Callbacks = nullptr;
    nghttp2_session_callbacks_new(&Callbacks);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        Callbacks, [](nghttp2_session *, const nghttp2_frame *Frame, void *Self) {
          return static_cast<connection_impl *>(Self)->onFrame(*Frame);
        });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        Callbacks, [](nghttp2_session *, std::uint8_t, std::int32_t, const std::uint8_t *Data,
                      std::size_t Size, void *Self) {
          static_cast<connection_impl *>(Self)->Protocol.feed({reinterpret_cast<const char *>(Data), Size});
          return 0;
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(
        Callbacks, [](nghttp2_session *, std::int32_t, std::uint32_t, void *Self) {
          static_cast<connection_impl *>(Self)->StreamEnded = true;
          return 0;
        });
    if (isClient())
      nghttp2_session_client_new(&Session, Callbacks, this);
    else
      nghttp2_session_server_new(&Session, Callbacks, this);
    nghttp2_session_callbacks_del(Callbacks);
  }

  nghttp2_data_provider makeBody() {
    nghttp2_data_provider Body{};
    Body.source.ptr = this;
    Body.read_callback = [](nghttp2_session *, std::int32_t, std::uint8_t *Buffer, std::size_t Size,
                            std::uint32_t *, nghttp2_data_source *Source, void *) {
      return static_cast<connection_impl *>(Source->ptr)->readBody(Buffer, Size);
    };
    return Body;
  }

  ssize_t readBody(std::uint8_t *Buffer, std::size_t Size) {
    std::size_t Count = std::min(Size, Output.size() - OutputSent);
    if (Count == 0)
      return NGHTTP2_ERR_DEFERRED;
    std::memcpy(Buffer, Output.data() + OutputSent, Count);
    OutputSent += Count;
    if (OutputSent == Output.size()) {
      clearBuffer(Output);
      OutputSent = 0;
    } else if (OutputSent >= MaxRetainedBufferBytes && 2 * OutputSent >= Output.size()) {
      // Erasing only when half of the buffer is sent ensures that fewer bytes are moved than sent.
      Output.erase(0, OutputSent);
      OutputSent = 0;
    }
    return static_cast<ssize_t>(Count);
  }

  void submitRequest() {
    std::array<nghttp2_nv, 4> Headers{{makeHeader(":method", "POST"), makeHeader(":scheme", "http"),
                                       makeHeader(":authority", Options.Address),
                                       makeHeader(":path", "/peer")}};
    nghttp2_data_provider Body = makeBody();
    Stream = nghttp2_submit_request(Session, nullptr, Headers.data(), Headers.size(), &Body, nullptr);
  }

  int onFrame(const nghttp2_frame &Frame) {
    bool IsRequest = Frame.hd.type == NGHTTP2_HEADERS && Frame.headers.cat == NGHTTP2_HCAT_REQUEST;
    if (IsRequest && Stream == 0) {
      Stream = Frame.hd.stream_id;
      std::array<nghttp2_nv, 1> Headers{{makeHeader(":status", "200")}};
      nghttp2_data_provider Body = makeBody();
      nghttp2_submit_response(Session, Stream, Headers.data(), Headers.size(), &Body);
    }
    bool EndsStream = (Frame.hd.type == NGHTTP2_HEADERS || Frame.hd.type == NGHTTP2_DATA) &&
                      (Frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (EndsStream || Frame.hd.type == NGHTTP2_GOAWAY)
      StreamEnded = true;
    return 0;
  }

  void startReading() {
    h2o_socket_read_start(
        Socket, +[](h2o_socket_t *Socket, const char *Error) {
          static_cast<connection_impl *>(Socket->data)->onRead(Error);
        });
  }

  void onRead(const char *Error) {
    if (Closed)
      return;
    if (Error != nullptr)
      return close(errc::ConnectionLost);
    h2o_buffer_t *Input = Socket->input;
    Owner.countReceived(Input->size);
    ssize_t Used =
        nghttp2_session_mem_recv(Session, reinterpret_cast<const std::uint8_t *>(Input->bytes), Input->size);
    h2o_buffer_consume(&Socket->input, Socket->input->size);
    if (Used < 0)
      return close(errc::MalformedDocument);
    handleEnvelopes();
    if (Closed)
      return;
    if (StreamEnded)
      return close(errc::ConnectionLost);
    scheduleFlush();
  }

  // Handles all completely received envelopes.
  void handleEnvelopes() {
    while (!Closed) {
      bool WasAuthenticated = authenticated();
      auto Next = Protocol.next();
      if (!Next)
        return close(static_cast<errc>(Next.error().value()));
      if (std::string Reply = Protocol.takeHandshakeOutput(); !Reply.empty())
        send(Reply);
      if (authenticated() && !WasAuthenticated && !verifyIdentity())
        return;
      if (!Next.value())
        return;
      if (!Closed)
        Owner.onEnvelope(*this, std::move(*Next.value()));
    }
  }

  bool verifyIdentity() {
    Loop.cancel(std::exchange(Timer, 0));
    if (!Options.Vm.empty() && peer().vm() != Options.Vm) {
      close(errc::PeerRejected);
      return false;
    }
    Owner.onAuthenticated(*this);
    return true;
  }

  void scheduleFlush() {
    if (FlushScheduled || Session == nullptr)
      return;
    FlushScheduled = true;
    postGuarded([this] {
      FlushScheduled = false;
      flush();
    });
  }

  void flush() {
    if (Closed || Writing)
      return;
    if (Stream != 0 && OutputSent < Output.size())
      nghttp2_session_resume_data(Session, Stream);
    WriteBuffer.clear();
    while (WriteBuffer.size() < MaxWriteBytes) {
      const std::uint8_t *Data = nullptr;
      ssize_t Size = nghttp2_session_mem_send(Session, &Data);
      if (Size < 0)
        return close(errc::Internal);
      if (Size == 0)
        break;
      WriteBuffer.append(reinterpret_cast<const char *>(Data), static_cast<std::size_t>(Size));
    }
    if (WriteBuffer.empty())
      return;
    Owner.countSent(WriteBuffer.size());
    Writing = true;
    h2o_iovec_t Vector = h2o_iovec_init(WriteBuffer.data(), WriteBuffer.size());
    h2o_socket_write(
        Socket, &Vector, 1, +[](h2o_socket_t *Socket, const char *Error) {
          static_cast<connection_impl *>(Socket->data)->onWritten(Error);
        });
  }

  void onWritten(const char *Error) {
    Writing = false;
    clearBuffer(WriteBuffer);
    if (Closed)
      return;
    if (Error != nullptr)
      return close(errc::ConnectionLost);
    flush();
  }

  runtime::loop &Loop;
  peer_connection_owner &Owner;
  peer_connection_options Options;
  peer_protocol Protocol;
  h2o_socket_t *Socket = nullptr;
  nghttp2_session *Session = nullptr;
  std::int32_t Stream = 0;
  runtime::timer_id Timer = 0;
  std::string Output;
  std::size_t OutputSent = 0;
  std::string WriteBuffer;
  bool Writing = false;
  bool FlushScheduled = false;
  bool StreamEnded = false;
  bool Closed = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace

runtime::result<std::unique_ptr<peer_connection>>
connectPeer(runtime::loop &Loop, peer_connection_owner &Owner, peer_connection_options Options) {
  auto Address = parseSocketAddress(Options.Address);
  if (!Address)
    return errc::ConnectFailed;
  auto Connection = std::make_unique<connection_impl>(Loop, Owner, std::move(Options));
  Connection->connect(Address.value());
  return std::unique_ptr<peer_connection>(std::move(Connection));
}

std::unique_ptr<peer_connection> acceptPeer(runtime::loop &Loop, peer_connection_owner &Owner,
                                            peer_connection_options Options, st_h2o_socket_t *Socket) {
  auto Connection = std::make_unique<connection_impl>(Loop, Owner, std::move(Options));
  Connection->attach(Socket);
  return Connection;
}

} // namespace yuccaplank::wire
