// Incremental readers of HTTP/1.1 requests and responses.
//
// Both sit on Boost.Beast's parser and keep only what the tier needs, so that
// a small response costs no allocation for each of its headers. Headers that
// concern one connection only are taken out of what is forwarded.
//
// Not thread-safe.

#ifndef LACEWINGKNOT_EDGE_HTTP_MESSAGES_H_
#define LACEWINGKNOT_EDGE_HTTP_MESSAGES_H_

#include <boost/beast/http/basic_parser.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/edge/header_names.h"

namespace lacewingknot::edge {

// A client's request, whole.
struct ClientRequest {
  std::string method;
  std::string target;  // Path and query, as sent.
  std::string host;
  std::string request_id;
  std::optional<Duration> time_left;  // What the client says it still waits.
  std::string forwarded_headers;      // "Name: value\r\n" for each.
  std::string body;
  bool has_body = false;
  bool keep_alive = true;
  bool expects_continue = false;
};

// An upstream's answer, whole.
struct UpstreamReply {
  int status = 0;
  std::string reason;
  std::string request_id;  // Empty if it echoes none.
  std::string signature;   // Empty if it carries none.
  bool not_run = false;    // The upstream says that it did not run it.
  bool keep_alive = true;  // The connection may be used again.
  std::optional<Duration> idle_timeout;  // After which the upstream closes it.
  std::string forwarded_headers;         // Only if asked for.
  std::string body;
};

// Whether `status` is one of success (2xx).
constexpr bool IsSuccessStatus(int status) { return status / 100 == 2; }

// True for headers that are never forwarded: they concern one connection, or
// the sender writes them anew.
bool IsHopByHop(boost::beast::http::field field);

// What both readers do alike: a body is collected whole, with or without
// chunks.
template <bool is_request>
class MessageReader : public boost::beast::http::basic_parser<is_request> {
 protected:
  using string_view = boost::beast::string_view;
  using error_code = boost::beast::error_code;
  using field = boost::beast::http::field;

  // Where the body is collected.
  virtual std::string& body() = 0;

  // Each reader overrides the one for its own kind of message.
  void on_request_impl(boost::beast::http::verb /*method*/,
                       string_view /*method_text*/, string_view /*target*/,
                       int /*version*/, error_code& /*error*/) override {}
  void on_response_impl(int /*status*/, string_view /*reason*/, int /*version*/,
                        error_code& /*error*/) override {}

  std::size_t on_body_impl(string_view bytes, error_code& /*error*/) final {
    body().append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                            error_code& /*error*/) final {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view bytes,
                                 error_code& error) final {
    return on_body_impl(bytes, error);
  }
  void on_finish_impl(error_code& /*error*/) final {}
};

class ClientRequestReader : public MessageReader<true> {
 public:
  explicit ClientRequestReader(const HeaderNames& names) : names_(names) {}

  // Complete once is_done().
  ClientRequest& request() { return request_; }

 private:
  std::string& body() override { return request_.body; }
  void on_request_impl(boost::beast::http::verb method, string_view method_text,
                       string_view target, int version,
                       error_code& error) override;
  void on_field_impl(field name, string_view name_text, string_view value,
                     error_code& error) override;
  void on_header_impl(error_code& error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code& error) override;

  const HeaderNames& names_;
  ClientRequest request_;
  std::string connection_tokens_;  // Headers that Connection names.
};

class UpstreamReplyReader : public MessageReader<false> {
 public:
  // `keep_headers`: collect headers to forward.
  UpstreamReplyReader(const HeaderNames& names, bool keep_headers)
      : names_(names), keep_headers_(keep_headers) {}

  UpstreamReply& reply() { return reply_; }

 private:
  std::string& body() override { return reply_.body; }
  void on_response_impl(int status, string_view reason, int version,
                        error_code& error) override;
  void on_field_impl(field name, string_view name_text, string_view value,
                     error_code& error) override;
  void on_header_impl(error_code& error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code& error) override;

  const HeaderNames& names_;
  const bool keep_headers_;
  UpstreamReply reply_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_HTTP_MESSAGES_H_
