// Incremental readers of HTTP/1.1 requests and responses.
//
// Both extend Boost.Beast's parser and keep only the headers that the tier
// needs, so that a small response does not cost an allocation per header.
// Hop-by-hop headers and trailers are not forwarded.
//
// A message whose end is not certain (RFC 9112, section 6) ends with an error:
// the parser refuses lengths that differ or stand beside a transfer coding, and
// malformed chunks; the readers refuse transfer codings other than "chunked".
//
// Not thread-safe.

#ifndef LACEWINGKNOT_EDGE_HTTP_MESSAGES_H_
#define LACEWINGKNOT_EDGE_HTTP_MESSAGES_H_

#include <boost/beast/http/basic_parser.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/edge/header_names.h"
#include "lacewingknot/policy/answer_budget.h"
#include "lacewingknot/policy/upstream_gate.h"

namespace lacewingknot::edge {

// A complete request of a client.
struct ClientRequest {
  std::string method;
  std::string target;  // Path and query, as sent.
  std::string host;
  std::string request_id;
  std::optional<Duration> time_left;  // How long the client will still wait.
  std::string forwarded_headers;      // "Name: value\r\n" for each.
  // Headers that are forwarded only if the configuration has no teams: the
  // client's key, and the name that the client gives for its team.
  struct WithheldHeader {
    std::size_t position = 0;  // Its place in `forwarded_headers`.
    std::string line;          // "Name: value\r\n".
    bool is_hop_by_hop = false;
  };
  std::vector<WithheldHeader> withheld_headers;
  // Values of the Authorization headers.
  std::vector<std::string> credentials;
  std::string body;
  bool has_body = false;
  bool keep_alive = true;
  bool expects_continue = false;
};

// A complete answer of an upstream.
struct UpstreamReply {
  int status = 0;
  std::string reason;
  std::string request_id;  // Empty if the answer echoes none.
  std::string signature;   // Empty if the answer is not signed.
  bool not_run = false;    // The upstream states that the request did not run.
  // What the upstream says of itself. A wait is taken only from a 503. Of
  // several values of one header, the most restrictive counts.
  UpstreamStatement statement;
  // How much longer the upstream is cold, if it states that.
  std::optional<Duration> cold_remaining;
  bool keep_alive = true;  // The connection may be used again.
  // Idle time after which the upstream closes the connection.
  std::optional<Duration> idle_timeout;
  std::string forwarded_headers;  // Filled only if headers are collected.
  std::string body;
  AnswerBudget::Reservation held;  // For the memory of `body`.
};

// Puts the withheld headers of `request` back into `forwarded_headers`, each in
// its place, for a configuration without teams.
void RestoreWithheldHeaders(ClientRequest& request);

// Erases the withheld headers of `request` and the credentials in them.
void EraseWithheldHeaders(ClientRequest& request);

// Returns the key in `credentials`; empty if they are not exactly one of the
// form "Bearer KEY".
std::string_view BearerKey(const std::vector<std::string>& credentials);

// Whether `status` is a success (2xx).
constexpr bool IsSuccessStatus(int status) { return status / 100 == 2; }

// Whether `field` is never forwarded, because it concerns one connection or
// because the sender writes its own value.
bool IsHopByHop(boost::beast::http::field field);

// Whether `error`, of a reader, means that the end of a message is not certain.
bool IsFramingError(boost::system::error_code error);

// The error of a request that ends with "chunked" but has other transfer
// codings, which the tier does not decode.
boost::system::error_code UnknownCodingError();

// Common base of both readers: collects the whole body, chunked or not.
template <bool is_request>
class MessageReader : public boost::beast::http::basic_parser<is_request> {
 protected:
  using string_view = boost::beast::string_view;
  using error_code = boost::beast::error_code;
  using field = boost::beast::http::field;

  // The string to which the body is appended.
  virtual std::string& body() = 0;

  // Whether the field that is being read belongs to the trailer.
  bool is_in_trailer() const { return this->is_header_done(); }

  // Each reader overrides the function for its own kind of message.
  void on_request_impl(boost::beast::http::verb /*method*/,
                       string_view /*method_text*/, string_view /*target*/,
                       int /*version*/, error_code& /*error*/) override {}
  void on_response_impl(int /*status*/, string_view /*reason*/, int /*version*/,
                        error_code& /*error*/) override {}

  std::size_t on_body_impl(string_view bytes, error_code& /*error*/) final {
    body().append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, string_view extensions,
                            error_code& error) final {
    // Others may take a bare line feed in a quoted value for the end of the
    // line.
    if (extensions.find('\n') != string_view::npos) {
      error = boost::beast::http::error::bad_chunk_extension;
    }
  }
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
  int version_ = 0;                // As the parser gives it: 11 for HTTP/1.1.
  std::string connection_tokens_;  // Value of the Connection headers.
};

class UpstreamReplyReader : public MessageReader<false> {
 public:
  // `keep_headers`: whether to collect the reason and the headers to forward.
  UpstreamReplyReader(const HeaderNames& names, bool keep_headers)
      : names_(names), collect_headers_(keep_headers) {}

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

  void ParseStatement(string_view name, string_view value);

  const HeaderNames& names_;
  const bool collect_headers_;
  UpstreamReply reply_;
  int version_ = 0;  // As the parser gives it: 11 for HTTP/1.1.
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_HTTP_MESSAGES_H_
