#include "lacewingknot/http/server.h"

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

namespace lacewingknot {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::experimental::listener::http_listener;

constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;

ServerRequest ToServerRequest(const http_request& request) {
  ServerRequest converted;
  converted.method = request.method();
  converted.path = web::uri::decode(request.relative_uri().path());
  const auto parameters = web::uri::split_query(request.relative_uri().query());
  for (const auto& [name, value] : parameters) {
    converted.parameters[name] = web::uri::decode(value);
  }
  return converted;
}

void SendReply(const http_request& request, const ServerReply& reply) {
  http_response response(static_cast<web::http::status_code>(reply.status));
  response.set_body(reply.body, reply.content_type);
  // The caller may have gone; there is then nobody left to tell.
  request.reply(response).then([](const pplx::task<void>& done) {
    try {
      done.get();
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
                 options_.listen + ": " + error.what()};
  }
  return Ok();
}

void HttpServer::Impl::Stop() {
  if (listener_ == nullptr) return;
  try {
    listener_->close().get();
  } catch (const std::exception&) {
    // Closing a listener whose connections have failed is still closed.
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
           {ErrorType::kInvalidRequest, "a body needs a Content-Length"});
    return;
  }
  if (request.headers().content_length() > options_.max_body_bytes) {
    Refuse(request, kTooLarge, {ErrorType::kRequestTooLarge, "body"});
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
  ServerRequest converted = ToServerRequest(request);
  converted.body = body;
  options_.handler(std::move(converted), [request](const ServerReply& reply) {
    SendReply(request, reply);
  });
}

HttpServer::HttpServer(Options options)
    : impl_(std::make_shared<Impl>(std::move(options))) {}
HttpServer::~HttpServer() { Stop(); }
Result<void> HttpServer::Start() { return impl_->Start(); }
void HttpServer::Stop() { impl_->Stop(); }

}  // namespace lacewingknot
