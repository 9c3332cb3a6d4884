#include "lacewingknot/edge/control_server.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <chrono>
#include <utility>

#include "lacewingknot/edge/internal/listening.h"

namespace lacewingknot::edge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Returns the value of a hexadecimal digit; empty if `digit` is none.
std::optional<int> HexValue(char digit) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  const char lower =
      static_cast<char>(std::tolower(static_cast<unsigned char>(digit)));
  const std::size_t value = kDigits.find(lower);
  if (value == std::string_view::npos) return std::nullopt;
  return static_cast<int>(value);
}

}  // namespace

std::optional<std::string> QueryParameter(std::string_view query,
                                          std::string_view name) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(pair.size() + 1, query.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || pair.substr(0, equals) != name) {
      continue;
    }
    const std::string_view encoded = pair.substr(equals + 1);
    std::string value;
    for (std::size_t i = 0; i < encoded.size(); ++i) {
      if (encoded[i] != '%') {
        value += encoded[i];
        continue;
      }
      if (i + 2 >= encoded.size()) return std::nullopt;
      const auto high = HexValue(encoded[i + 1]);
      const auto low = HexValue(encoded[i + 2]);
      if (!high || !low) return std::nullopt;
      value += static_cast<char>(*high * 16 + *low);
      i += 2;
    }
    if (value.empty()) return std::nullopt;
    return value;
  }
  return std::nullopt;
}

// One connection, kept alive by its pending operation.
class ControlServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, const ControlServer& server)
      : stream_(std::move(socket)), server_(server) {}

  void Read() {
    request_ = {};
    stream_.expires_after(kIdleTimeout);
    http::async_read(
        stream_, buffer_, request_,
        [self = shared_from_this()](beast::error_code error, std::size_t) {
          if (!error) self->SendReply();
        });
  }

 private:
  static constexpr std::chrono::seconds kIdleTimeout{30};

  void SendReply() {
    std::vector<std::string> credentials;
    const auto [begin, end] = request_.equal_range(http::field::authorization);
    for (auto field = begin; field != end; ++field) {
      credentials.emplace_back(field->value().data(), field->value().size());
    }
    const ControlReply reply = server_.Reply(
        {request_.method_string().data(), request_.method_string().size()},
        {request_.target().data(), request_.target().size()},
        std::move(credentials));
    response_ = {};
    response_.version(request_.version());
    response_.result(reply.status);
    response_.set(http::field::content_type, reply.content_type);
    response_.body() = reply.body;
    response_.keep_alive(request_.keep_alive());
    response_.prepare_payload();
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](beast::error_code error, std::size_t) {
          if (!error && self->response_.keep_alive()) {
            self->Read();
          }
        });
  }

  beast::tcp_stream stream_;
  const ControlServer& server_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

void ControlServer::Handle(std::string path, ControlHandler handler) {
  HandleRequest(std::move(path),
                [handler = std::move(handler)](const ControlRequest& request) {
                  return handler(request.query);
                });
}

void ControlServer::HandleRequest(std::string path,
                                  ControlRequestHandler handler) {
  handlers_.insert_or_assign(std::move(path), std::move(handler));
}

Result<void> ControlServer::Listen(const std::string& address) {
  auto acceptor = std::make_unique<asio::ip::tcp::acceptor>(io_);
  if (const auto bound = internal::BindAndListen(*acceptor, address); !bound) {
    return bound.error();
  }
  acceptors_.push_back(std::move(acceptor));
  Accept(*acceptors_.back());
  return Ok();
}

void ControlServer::Accept(asio::ip::tcp::acceptor& acceptor) {
  acceptor.async_accept(
      [this, &acceptor](beast::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) std::make_shared<Session>(std::move(socket), *this)->Read();
        Accept(acceptor);
      });
}

ControlReply ControlServer::Reply(std::string_view method,
                                  std::string_view target,
                                  std::vector<std::string> credentials) const {
  if (method != "GET") return {.status = 405, .body = "only GET\n"};
  const auto question = target.find('?');
  const auto found = handlers_.find(target.substr(0, question));
  if (found == handlers_.end()) {
    return {.status = 404, .body = "no such path\n"};
  }
  return found->second({.query = question == std::string_view::npos
                                     ? std::string_view()
                                     : target.substr(question + 1),
                        .credentials = std::move(credentials)});
}

}  // namespace lacewingknot::edge
