#include "lacewingknot/edge/http_messages.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <cmath>

#include "lacewingknot/net/http_status.h"

namespace lacewingknot::edge {
namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;
using boost::beast::string_view;

// Larger values of the client's remaining time are clamped to this.
constexpr std::int64_t kMaxTimeLeftMs = 24LL * 3600 * 1000;

void AppendHeader(std::string& to, string_view name, string_view value) {
  to.append(name.data(), name.size());
  to += ": ";
  to.append(value.data(), value.size());
  to += "\r\n";
}

template <typename T>
std::optional<T> ParseNumber(string_view text) {
  T value{};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  return value;
}

// Bounds of numbers in statements of upstreams.
constexpr double kMaxRate = 1e9;
constexpr double kMaxWaitSeconds = 1e6;
constexpr double kMaxColdMs = 3'600'000;

// Parses a number that is not negative, and caps it; empty if `text` is none.
std::optional<double> ParseFinite(string_view text, double max) {
  const auto number = ParseNumber<double>(text);
  if (!number || !std::isfinite(*number) || *number < 0) return std::nullopt;
  return std::min(*number, max);
}

std::string ToString(string_view view) { return {view.data(), view.size()}; }

// The most bytes that are reserved for a body before it arrives.
constexpr std::uint64_t kMaxReservedBodyBytes = 64 << 10;

bool IsListed(string_view line, const std::string& tokens) {
  return http::token_list(tokens).exists(line.substr(0, line.find(':')));
}

// Removes the headers that `tokens` lists from those to forward.
void RemoveListedHeaders(ClientRequest& request, const std::string& tokens) {
  const std::string& headers = request.forwarded_headers;
  std::string kept;
  std::size_t begin = 0;
  auto withheld = request.withheld_headers.begin();
  const auto update_withheld = [&] {
    for (; withheld != request.withheld_headers.end() &&
           withheld->position == begin;
         ++withheld) {
      withheld->position = kept.size();
      withheld->is_hop_by_hop = IsListed(withheld->line, tokens);
    }
  };
  while (begin < headers.size()) {
    update_withheld();
    const std::size_t end = headers.find("\r\n", begin) + 2;
    const string_view line(headers.data() + begin, end - begin);
    if (!IsListed(line, tokens)) kept += ToString(line);
    begin = end;
  }
  update_withheld();
  request.forwarded_headers = std::move(kept);
}

constexpr int kHttp11 = 11;

// Returns the error of a message with the Transfer-Encoding header `value`.
// Earlier versions than HTTP/1.1 have no transfer codings.
boost::system::error_code CheckTransferCoding(string_view value, int version) {
  if (version >= kHttp11 && iequals(value, "chunked")) return {};
  const http::opt_token_list codings(value);
  std::size_t chunked_count = 0;
  bool is_chunked_last = false;
  for (const string_view coding : codings) {
    is_chunked_last = iequals(coding, "chunked");
    if (is_chunked_last) ++chunked_count;
  }
  if (version >= kHttp11 && http::validate_list(codings) && is_chunked_last &&
      chunked_count == 1) {
    return UnknownCodingError();
  }
  return http::error::bad_transfer_encoding;
}

}  // namespace

void RestoreWithheldHeaders(ClientRequest& request) {
  if (!request.withheld_headers.empty()) {
    std::string headers;
    std::size_t copied = 0;
    for (const ClientRequest::WithheldHeader& withheld :
         request.withheld_headers) {
      headers.append(request.forwarded_headers, copied,
                     withheld.position - copied);
      copied = withheld.position;
      if (!withheld.is_hop_by_hop) headers += withheld.line;
    }
    headers.append(request.forwarded_headers, copied);
    request.forwarded_headers = std::move(headers);
  }
  EraseWithheldHeaders(request);
}

void EraseWithheldHeaders(ClientRequest& request) {
  request.withheld_headers = {};
  request.credentials = {};
}

std::string_view BearerKey(const std::vector<std::string>& credentials) {
  if (credentials.size() != 1) return {};
  const std::string_view value = credentials.front();
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view scheme = value.substr(0, kScheme.size());
  if (!iequals({scheme.data(), scheme.size()},
               {kScheme.data(), kScheme.size()})) {
    return {};
  }
  const std::size_t begin = value.find_first_not_of(' ', kScheme.size());
  return begin == std::string_view::npos ? std::string_view()
                                         : value.substr(begin);
}

bool IsFramingError(boost::system::error_code error) {
  return error == http::error::bad_transfer_encoding ||
         error == http::error::bad_content_length ||
         error == http::error::bad_chunk ||
         error == http::error::bad_chunk_extension;
}

boost::system::error_code UnknownCodingError() {
  return boost::system::errc::make_error_code(
      boost::system::errc::not_supported);
}

bool IsHopByHop(http::field field) {
  switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

void ClientRequestReader::on_request_impl(http::verb /*method*/,
                                          string_view method_text,
                                          string_view target, int version,
                                          error_code& /*error*/) {
  version_ = version;
  request_.method = ToString(method_text);
  request_.target = ToString(target);
}

void ClientRequestReader::on_field_impl(field name, string_view name_text,
                                        string_view value, error_code& error) {
  if (is_in_trailer()) return;
  if (name == field::transfer_encoding) {
    error = CheckTransferCoding(value, version_);
    return;
  }
  if (name == field::host) {
    // With a second Host header the route would be ambiguous.
    if (!request_.host.empty()) error = http::error::bad_field;
    request_.host = ToString(value);
    return;
  }
  if (name == field::connection) {
    if (!connection_tokens_.empty()) connection_tokens_ += ", ";
    connection_tokens_ += ToString(value);
    return;
  }
  if (name == field::expect) {
    request_.expects_continue = iequals(value, "100-continue");
    return;
  }
  if (IsHopByHop(name)) return;
  if (iequals(name_text, names_.deadline_ms)) {
    if (const auto left = ParseNumber<std::int64_t>(value)) {
      request_.time_left = std::chrono::milliseconds(
          std::clamp<std::int64_t>(*left, 0, kMaxTimeLeftMs));
    }
    return;
  }
  if (iequals(name_text, names_.expected_upstream)) return;
  const bool is_credentials = name == field::authorization;
  if (is_credentials || iequals(name_text, names_.team)) {
    if (is_credentials) request_.credentials.push_back(ToString(value));
    ClientRequest::WithheldHeader withheld{
        .position = request_.forwarded_headers.size()};
    AppendHeader(withheld.line, name_text, value);
    request_.withheld_headers.push_back(std::move(withheld));
    return;
  }
  if (iequals(name_text, names_.request_id)) {
    request_.request_id = ToString(value);
  }
  AppendHeader(request_.forwarded_headers, name_text, value);
}

void ClientRequestReader::on_header_impl(error_code& /*error*/) {
  request_.keep_alive = keep_alive();
  if (connection_tokens_.empty()) return;
  if (iequals(connection_tokens_, "keep-alive") ||
      iequals(connection_tokens_, "close")) {
    return;
  }
  RemoveListedHeaders(request_, connection_tokens_);
}

void ClientRequestReader::on_body_init_impl(
    const boost::optional<std::uint64_t>& /*length*/, error_code& /*error*/) {
  request_.has_body = true;
}

void UpstreamReplyReader::on_response_impl(int status, string_view reason,
                                           int version, error_code& error) {
  if (!IsFinalStatus(status) && !IsInterimStatus(status)) {
    error = http::error::bad_status;
  }
  version_ = version;
  reply_.status = status;
  if (collect_headers_) reply_.reason = ToString(reason);
}

void UpstreamReplyReader::on_field_impl(field name, string_view name_text,
                                        string_view value, error_code& error) {
  if (is_in_trailer()) return;
  if (name == field::transfer_encoding) {
    error = CheckTransferCoding(value, version_);
    return;
  }
  if (name == field::keep_alive) {
    const auto at = value.find("timeout=");
    if (at == string_view::npos) return;
    string_view digits = value.substr(at + 8);
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    if (const auto seconds = ParseNumber<std::int64_t>(digits)) {
      reply_.idle_timeout = std::chrono::seconds(*seconds);
    }
    return;
  }
  if (IsHopByHop(name)) return;
  if (name == field::unknown) {
    if (iequals(name_text, names_.request_id)) {
      reply_.request_id = ToString(value);
    } else if (iequals(name_text, names_.signature)) {
      reply_.signature = ToString(value);
    } else if (iequals(name_text, names_.not_run)) {
      reply_.not_run = true;
    } else {
      ParseStatement(name_text, value);
    }
  }
  constexpr int kUnavailable = 503;
  if (name == field::retry_after && reply_.status == kUnavailable) {
    if (const auto seconds = ParseFinite(value, kMaxWaitSeconds)) {
      const auto wait = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(*seconds));
      reply_.statement.wait =
          std::max(reply_.statement.wait.value_or(wait), wait);
    } else {
      ++reply_.statement.malformed;
    }
  }
  if (collect_headers_) {
    AppendHeader(reply_.forwarded_headers, name_text, value);
  }
}

void UpstreamReplyReader::ParseStatement(string_view name, string_view value) {
  UpstreamStatement& statement = reply_.statement;
  if (iequals(name, names_.stated_rate)) {
    if (const auto rate = ParseFinite(value, kMaxRate)) {
      statement.rate = std::min(statement.rate.value_or(*rate), *rate);
    } else {
      ++statement.malformed;
    }
  } else if (iequals(name, names_.leaving)) {
    statement.is_leaving = statement.is_leaving || value == "1";
    if (value != "1" && value != "0") ++statement.malformed;
  } else if (iequals(name, names_.cold_remaining)) {
    if (const auto ms = ParseFinite(value, kMaxColdMs)) {
      reply_.cold_remaining = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(*ms));
    } else {
      ++statement.malformed;
    }
  }
}

void UpstreamReplyReader::on_header_impl(error_code& /*error*/) {
  reply_.keep_alive = keep_alive() && !need_eof();
}

void UpstreamReplyReader::on_body_init_impl(
    const boost::optional<std::uint64_t>& length, error_code& /*error*/) {
  // Capped, because the length is an unverified claim of the upstream.
  if (length) reply_.body.reserve(std::min(*length, kMaxReservedBodyBytes));
}

}  // namespace lacewingknot::edge
