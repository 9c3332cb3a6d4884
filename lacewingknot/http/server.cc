#include "lacewingknot/http/server.h"

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

namespace lacewingknot {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::experimental::listener::http_listener;

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;

ServerRequest ToServerRequest(const http_request& request) {
  ServerRequest server_request;
  server_request.method = request.method();
  server_request.path = web::uri::decode(request.relative_uri().path());
  const auto parameters = web::uri::split_query(request.relative_uri().query());
  for (const auto& [name, value] : parameters) {
    server_request.parameters[name] = web::uri::decode(value);
  }
  return server_request;
}

void SendReply(const http_request& request, const ServerReply& reply) {
  http_response response(static_cast<web::http::status_code>(reply.status));
  response.set_body(reply.body, reply.content_type);
  // Sending fails if the caller has closed the connection. The failure is
  // ignored, because the reply cannot reach the caller in any other way.
  request.reply(response).then([](const pplx::task<void>& sent) {
    try {
      sent.get();
    } catch (const std::exception&) {
      return;
    }
  });
}

}  // namespace

void InitializeHttpThreads(std::size_t threads) {
  crossplat::threadpool::initialize_with_threads(threads);
}

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  explicit Impl(Options options) : options_(std::move(options)) {}

  Result<void> Start();
  void Stop();

 private:
  void Handle(http_request request);
  void Refuse(const http_request& request, int status, const Error& error);
  void Dispatch(const http_request& request, const std::string& body);

  Options options_;
  std::unique_ptr<http_listener> listener_;
};

Result<void> HttpServer::Impl::Start() {
  try {
    listener_ = std::make_unique<http_listener>("http://" + options_.listen);
    listener_->support(
        [self = shared_from_this()](const http_request& request) {
          self->Handle(request);
        });
    listener_->open().get();
  } catch (const std::exception& error) {
    return Error{ErrorType::kInvalidSettings,
                 "cannot listen on " + options_.listen + ": " + error.what()};
  }
  return Ok();
}

void HttpServer::Impl::Stop() {
  if (listener_ == nullptr) return;
  try {
    listener_->close().get();
  } catch (const std::exception&) {
    // The listener is closed even if closing failed connections threw.
  }
  listener_.reset();
}

void HttpServer::Impl::Refuse(const http_request& request, int status,
                              const Error& error) {
  SendReply(request, {.status = status, .body = options_.refusal_body(error)});
}

void HttpServer::Impl::Handle(http_request request) {
  if (request.headers().has("Transfer-Encoding")) {
    Refuse(request, kBadRequest,
           {ErrorType::kInvalidRequest,
            "Transfer-Encoding is not supported; send a Content-Length"});
    return;
  }
  if (request.headers().content_length() > options_.max_body_bytes) {
    Refuse(request, kPayloadTooLarge,
           {ErrorType::kRequestTooLarge,
            "the body exceeds " + std::to_string(options_.max_body_bytes) +
                " bytes"});
    return;
  }
  constexpr bool kIgnoreContentType = true;
  request.extract_utf8string(kIgnoreContentType)
      .then([self = shared_from_this(),
             request](const pplx::task<std::string>& body) {
        try {
          self->Dispatch(request, body.get());
        } catch (const std::exception& error) {
          self->Refuse(request, kBadRequest,
                       {ErrorType::kInvalidRequest, error.what()});
        }
      });
}

void HttpServer::Impl::Dispatch(const http_request& request,
                                const std::string& body) {
  ServerRequest server_request = ToServerRequest(request);
  server_request.body = body;
  options_.handler(
      std::move(server_request),
      [request](const ServerReply& reply) { SendReply(request, reply); });
}

HttpServer::HttpServer(Options options)
    : impl_(std::make_shared<Impl>(std::move(options))) {}
HttpServer::~HttpServer() { Stop(); }
Result<void> HttpServer::Start() { return impl_->Start(); }
void HttpServer::Stop() { impl_->Stop(); }

}  // namespace lacewingknot
