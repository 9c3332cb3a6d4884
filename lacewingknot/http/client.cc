#include "lacewingknot/http/client.h"

#include <cpprest/http_client.h>

#include <future>
#include <stdexcept>
#include <string>

#include "lacewingknot/net/http_status.h"

namespace lacewingknot {

using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;

class HttpClient::Impl {
 public:
  Impl(const std::string& address, Duration timeout) {
    http_client_config config;
    config.set_timeout(
        std::chrono::duration_cast<std::chrono::microseconds>(timeout));
    client_ = std::make_unique<http_client>("http://" + address, config);
  }

  pplx::task<ClientReply> Send(const std::string& method,
                               const std::string& target,
                               const std::string& body, const Headers& headers);

 private:
  std::unique_ptr<http_client> client_;
};

pplx::task<ClientReply> HttpClient::Impl::Send(const std::string& method,
                                               const std::string& target,
                                               const std::string& body,
                                               const Headers& headers) {
  web::http::http_request request(method);
  request.set_request_uri(target);
  for (const auto& [name, value] : headers) request.headers().add(name, value);
  if (!body.empty()) request.set_body(body, "application/json");
  return client_->request(request).then([](const http_response& response) {
    return response.extract_utf8string(true).then(
        [response](const std::string& text) {
          ClientReply reply;
          reply.status = response.status_code();
          // The library accepts any number.
          if (!IsFinalStatus(reply.status)) {
            throw std::runtime_error("invalid HTTP status " +
                                     std::to_string(reply.status));
          }
          reply.body = text;
          for (const auto& [name, value] : response.headers()) {
            reply.headers[name] = value;
          }
          return reply;
        });
  });
}

HttpClient::HttpClient(const std::string& address, Duration timeout)
    : impl_(std::make_unique<Impl>(address, timeout)) {}
HttpClient::~HttpClient() = default;

void HttpClient::Send(const std::string& method, const std::string& target,
                      const std::string& body, ReplyCallback on_reply,
                      const Headers& headers) {
  impl_->Send(method, target, body, headers)
      .then([on_reply =
                 std::move(on_reply)](const pplx::task<ClientReply>& reply) {
        try {
          on_reply(reply.get());
        } catch (const std::exception& error) {
          on_reply(Error{ErrorType::kPlatformUnavailable, error.what()});
        }
      });
}

Result<ClientReply> HttpClient::SendAndWait(const std::string& method,
                                            const std::string& target,
                                            const std::string& body,
                                            const Headers& headers) {
  std::promise<Result<ClientReply>> reply;
  Send(
      method, target, body,
      [&reply](Result<ClientReply> result) {
        reply.set_value(std::move(result));
      },
      headers);
  return reply.get_future().get();
}

}  // namespace lacewingknot
