#include "review/standins-2/http_stand_in.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {
namespace {

sockaddr_in MakeAddress(const std::string& address, int port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Appends what has arrived to `buffer`; returns false at the end.
bool Receive(int socket, std::string& buffer) {
  std::array<char, 65'536> chunk{};
  const ssize_t count = recv(socket, chunk.data(), chunk.size(), 0);
  if (count <= 0) return false;
  buffer.append(chunk.data(), static_cast<std::size_t>(count));
  return true;
}

// Reads one message with a Content-Length; `buffer` keeps what follows it.
std::optional<HttpMessage> ReadMessage(int socket, std::string& buffer) {
  std::size_t end = buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Receive(socket, buffer)) return std::nullopt;
    end = buffer.find("\r\n\r\n");
  }
  HttpMessage message;
  std::size_t begin = 0;
  while (begin < end) {
    const std::size_t line_end = std::min(buffer.find("\r\n", begin), end);
    const std::string line = buffer.substr(begin, line_end - begin);
    begin = line_end + 2;
    if (message.start_line.empty()) {
      message.start_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] =
        value == std::string::npos ? std::string() : line.substr(value);
  }
  buffer.erase(0, end + 4);
  const auto length = static_cast<std::size_t>(
      std::strtoull(message.header("content-length").c_str(), nullptr, 10));
  while (buffer.size() < length) {
    if (!Receive(socket, buffer)) return std::nullopt;
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return message;
}

void ServeConnection(int socket, const HttpHandler& handler) {
  const int enabled = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  std::string buffer;
  while (const auto message = ReadMessage(socket, buffer)) {
    HttpRequest request;
    static_cast<HttpMessage&>(request) = *message;
    const HttpResponse response = handler(request);
    if (!SendAll(socket, "HTTP/1.1 " + std::to_string(response.status) +
                             " X\r\n" + response.headers + "Content-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" +
                             response.body)) {
      break;
    }
  }
}

// Returns a listening socket; -1 if the address cannot be bound.
int Listen(const std::string& address, int port) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in bound = MakeAddress(address, port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&bound),
           sizeof(bound)) != 0 ||
      listen(listener, SOMAXCONN) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

}  // namespace

std::string HttpMessage::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

std::string HttpRequest::method() const {
  return start_line.substr(0, start_line.find(' '));
}

std::string HttpRequest::path() const {
  const std::size_t begin = start_line.find(' ') + 1;
  return start_line.substr(begin,
                           start_line.find_first_of(" ?", begin) - begin);
}

std::string HttpRequest::parameter(const std::string& name) const {
  const std::size_t question = start_line.find('?');
  if (question == std::string::npos) return {};
  const std::string query =
      '&' +
      start_line.substr(question + 1, start_line.rfind(' ') - question - 1);
  const std::size_t found = query.find('&' + name + '=');
  if (found == std::string::npos) return {};
  const std::size_t begin = found + name.size() + 2;
  const std::string encoded =
      query.substr(begin, query.find('&', begin) - begin);
  std::string value;
  for (std::size_t i = 0; i < encoded.size(); ++i) {
    if (encoded[i] == '%' && i + 2 < encoded.size()) {
      value += static_cast<char>(
          std::strtol(encoded.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      value += encoded[i];
    }
  }
  return value;
}

CrashableServer::CrashableServer(std::string address, int port,
                                 HttpHandler handler)
    : address_(std::move(address)), port_(port), handler_(std::move(handler)) {}

bool CrashableServer::Start() {
  listener_ = Listen(address_, port_);
  if (listener_ < 0) return false;
  sockets_ = std::make_shared<Sockets>();
  sockets_->is_running = true;
  std::thread([listener = listener_, sockets = sockets_, handler = handler_] {
    for (;;) {
      const int accepted = accept(listener, nullptr, nullptr);
      const std::lock_guard lock(sockets->mutex);
      if (!sockets->is_running) {
        if (accepted >= 0) close(accepted);
        close(listener);
        return;
      }
      if (accepted < 0) continue;
      sockets->open.insert(accepted);
      std::thread([accepted, sockets, handler] {
        ServeConnection(accepted, handler);
        const std::lock_guard closing(sockets->mutex);
        sockets->open.erase(accepted);
        close(accepted);
      }).detach();
    }
  }).detach();
  return true;
}

void CrashableServer::Crash() {
  const std::lock_guard lock(sockets_->mutex);
  sockets_->is_running = false;
  shutdown(listener_, SHUT_RDWR);
  for (const int connection : sockets_->open) {
    // Without a graceful end, as when a process is killed with bytes unread.
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(connection, SHUT_RDWR);
  }
}

bool Serve(const std::string& address, int port, HttpHandler handler) {
  const int listener = Listen(address, port);
  if (listener < 0) return false;
  std::thread([listener, handler = std::move(handler)] {
    for (;;) {
      const int accepted = accept(listener, nullptr, nullptr);
      if (accepted < 0) continue;
      std::thread([accepted, handler] {
        ServeConnection(accepted, handler);
        close(accepted);
      }).detach();
    }
  }).detach();
  return true;
}

std::optional<HttpMessage> Exchange(const std::string& address, int port,
                                    const std::string& request,
                                    std::chrono::milliseconds timeout) {
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{.tv_sec = timeout.count() / 1000,
                      .tv_usec = (timeout.count() % 1000) * 1000};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in peer = MakeAddress(address, port);
  std::optional<HttpMessage> answer;
  std::string buffer;
  if (connect(connection, reinterpret_cast<const sockaddr*>(&peer),
              sizeof(peer)) == 0 &&
      SendAll(connection, request)) {
    answer = ReadMessage(connection, buffer);
  }
  close(connection);
  return answer;
}

int StatusOf(const HttpMessage& answer) {
  const std::size_t space = answer.start_line.find(' ');
  return static_cast<int>(
      std::strtol(answer.start_line.c_str() + space, nullptr, 10));
}

int FreePort(const std::string& address) {
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in bound = MakeAddress(address, 0);
  socklen_t size = sizeof(bound);
  const bool is_bound = bind(probe, reinterpret_cast<const sockaddr*>(&bound),
                             sizeof(bound)) == 0;
  getsockname(probe, reinterpret_cast<sockaddr*>(&bound), &size);
  close(probe);
  return is_bound ? ntohs(bound.sin_port) : 0;
}

}  // namespace review
