// Shared parts of the stand-ins: time, log lines, and HTTP/1.1 over blocking sockets with a thread for each
// connection.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using json = nlohmann::json;

// Milliseconds on the machine's steady clock, which all processes of a case share.
inline double nowMs() {
  timespec Time{};
  clock_gettime(CLOCK_MONOTONIC, &Time);
  return static_cast<double>(Time.tv_sec) * 1e3 + static_cast<double>(Time.tv_nsec) / 1e6;
}

inline std::int64_t unixMs() {
  timespec Time{};
  clock_gettime(CLOCK_REALTIME, &Time);
  return static_cast<std::int64_t>(Time.tv_sec) * 1000 + Time.tv_nsec / 1000000;
}

inline void sleepMs(double Ms) {
  if (Ms > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(Ms));
}

// Appends whole lines to a file that several processes share. A killed process loses no line.
class event_log {
public:
  void open(const std::string &File) { Fd = ::open(File.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644); }
  void line(const std::string &Text) const {
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%.3f ", nowMs());
    std::string Line = Time + Text + "\n";
    if (Fd >= 0 && ::write(Fd, Line.data(), Line.size()) < 0)
      std::abort();
  }

private:
  int Fd = -1;
};

inline sockaddr_in parseAddress(const std::string &Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  std::size_t Colon = Address.rfind(':');
  Result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Result.sin_addr);
  return Result;
}

struct http_message {
  std::string FirstLine;
  std::map<std::string, std::string> Headers; // names in lower case
  std::string Body;
};

// Reads one message with a Content-Length. Data that follows it stays in Buffer. Returns false when the
// connection has ended or the time is over (Deadline on nowMs(); 0 for none).
inline bool readMessage(int Fd, std::string &Buffer, http_message &Message, double Deadline = 0) {
  auto ReadMore = [&] {
    if (Deadline > 0) {
      pollfd Poll{Fd, POLLIN, 0};
      double Left = Deadline - nowMs();
      if (Left <= 0 || ::poll(&Poll, 1, static_cast<int>(Left) + 1) <= 0)
        return false;
    }
    char Bytes[16384];
    ssize_t Count = ::recv(Fd, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  };
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!ReadMore())
      return false;
  Message = {};
  std::string Head = Buffer.substr(0, End + 2);
  Buffer.erase(0, End + 4);
  std::size_t Position = Head.find("\r\n");
  Message.FirstLine = Head.substr(0, Position);
  Position += 2;
  while (Position < Head.size()) {
    std::size_t LineEnd = Head.find("\r\n", Position);
    std::string Line = Head.substr(Position, LineEnd - Position);
    Position = LineEnd + 2;
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    for (char &Character : Name)
      Character = static_cast<char>(std::tolower(Character));
    std::size_t Start = Line.find_first_not_of(' ', Colon + 1);
    Message.Headers[Name] = Start == std::string::npos ? "" : Line.substr(Start);
  }
  std::size_t Length = 0;
  if (auto Found = Message.Headers.find("content-length"); Found != Message.Headers.end())
    Length = std::stoul(Found->second);
  while (Buffer.size() < Length)
    if (!ReadMore())
      return false;
  Message.Body = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return true;
}

inline bool writeAll(int Fd, const std::string &Text) {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    ssize_t Count = ::send(Fd, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

struct reply {
  int Status = 200;
  std::string Body = "{}";
  // Keep the connection open and never answer.
  bool None = false;
};

struct request {
  std::string Method;
  std::string Path; // without the query
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

inline std::string decodePercent(const std::string &Text) {
  std::string Result;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] == '%' && Index + 2 < Text.size()) {
      Result += static_cast<char>(std::stoi(Text.substr(Index + 1, 2), nullptr, 16));
      Index += 2;
    } else {
      Result += Text[Index];
    }
  }
  return Result;
}

inline request toRequest(const http_message &Message) {
  request Request;
  std::size_t First = Message.FirstLine.find(' ');
  std::size_t Second = Message.FirstLine.find(' ', First + 1);
  Request.Method = Message.FirstLine.substr(0, First);
  std::string Target = Message.FirstLine.substr(First + 1, Second - First - 1);
  std::size_t Mark = Target.find('?');
  Request.Path = Target.substr(0, Mark);
  Request.Headers = Message.Headers;
  Request.Body = Message.Body;
  while (Mark != std::string::npos) {
    std::size_t Next = Target.find('&', Mark + 1);
    std::string Part = Target.substr(Mark + 1, Next == std::string::npos ? Next : Next - Mark - 1);
    std::size_t Equals = Part.find('=');
    if (Equals != std::string::npos)
      Request.Query[decodePercent(Part.substr(0, Equals))] = decodePercent(Part.substr(Equals + 1));
    Mark = Next;
  }
  return Request;
}

inline void serveConnection(int Fd, const std::function<reply(const request &)> &Handler) {
  int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  std::string Buffer;
  http_message Message;
  while (readMessage(Fd, Buffer, Message)) {
    reply Reply = Handler(toRequest(Message));
    if (Reply.None)
      continue;
    std::string Text =
        "HTTP/1.1 " + std::to_string(Reply.Status) +
        " Status\r\ncontent-type: application/json\r\ncontent-length: " + std::to_string(Reply.Body.size()) +
        "\r\n\r\n" + Reply.Body;
    if (!writeAll(Fd, Text))
      break;
  }
  ::close(Fd);
}

inline int listenOn(const std::string &Address) {
  int Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Parsed = parseAddress(Address);
  if (::bind(Listener, reinterpret_cast<sockaddr *>(&Parsed), sizeof(Parsed)) != 0 ||
      ::listen(Listener, 256) != 0) {
    std::fprintf(stderr, "cannot listen on %s: %s\n", Address.c_str(), std::strerror(errno));
    std::exit(2);
  }
  return Listener;
}

[[noreturn]] inline void serveForever(int Listener, std::function<reply(const request &)> Handler) {
  while (true) {
    int Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd >= 0)
      std::thread([Fd, Handler] { serveConnection(Fd, Handler); }).detach();
  }
}

inline int connectTo(const std::string &Address) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Parsed = parseAddress(Address);
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&Parsed), sizeof(Parsed)) != 0) {
    ::close(Fd);
    return -1;
  }
  int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Fd;
}

// One request on a connection of its own. Returns the status, or 0 without a complete answer.
inline int call(const std::string &Address, const std::string &Method, const std::string &Path,
                const std::string &Headers, const std::string &Body, double TimeoutMs,
                std::string *Answer = nullptr) {
  double Deadline = nowMs() + TimeoutMs;
  int Fd = connectTo(Address);
  if (Fd < 0)
    return 0;
  std::string Text = Method + " " + Path + " HTTP/1.1\r\n" + Headers +
                     "content-type: application/json\r\ncontent-length: " + std::to_string(Body.size()) +
                     "\r\n\r\n" + Body;
  std::string Buffer;
  http_message Message;
  int Status = 0;
  if (writeAll(Fd, Text) && readMessage(Fd, Buffer, Message, Deadline) && Message.FirstLine.size() > 12) {
    Status = std::stoi(Message.FirstLine.substr(9, 3));
    if (Answer)
      *Answer = Message.Body;
  }
  ::close(Fd);
  return Status;
}

inline std::string encodeBase64(const std::string &Bytes) {
  static const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t Index = 0; Index < Bytes.size(); Index += 3) {
    unsigned Value = 0;
    std::size_t Count = std::min<std::size_t>(3, Bytes.size() - Index);
    for (std::size_t Byte = 0; Byte < 3; ++Byte)
      Value = Value << 8U | (Byte < Count ? static_cast<unsigned char>(Bytes[Index + Byte]) : 0U);
    for (std::size_t Digit = 0; Digit < 4; ++Digit)
      Text += Digit <= Count ? Digits[Value >> (18 - 6 * Digit) & 63U] : '=';
  }
  return Text;
}

class arguments {
public:
  arguments(int Count, char **Words) {
    for (int Index = 2; Index + 1 < Count; Index += 2)
      Values[Words[Index] + 2] = Words[Index + 1]; // --name value
  }
  [[nodiscard]] std::string text(const std::string &Name, const std::string &Default = "") const {
    auto Found = Values.find(Name);
    return Found == Values.end() ? Default : Found->second;
  }
  [[nodiscard]] double number(const std::string &Name, double Default = 0) const {
    auto Found = Values.find(Name);
    return Found == Values.end() ? Default : std::stod(Found->second);
  }

private:
  std::map<std::string, std::string> Values;
};
