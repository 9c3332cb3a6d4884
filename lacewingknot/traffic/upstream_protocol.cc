#include "lacewingknot/traffic/upstream_protocol.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace lacewingknot {
namespace {

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::vector<IndexVersion> ParseVersions(std::string_view text) {
  constexpr std::size_t kMaxVersions = 64;
  std::vector<IndexVersion> versions;
  while (!text.empty() && versions.size() < kMaxVersions) {
    const auto comma = text.find(',');
    const auto number = ParseNumber(text.substr(0, comma));
    if (number && *number != kAnyVersion) versions.push_back(*number);
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return versions;
}

std::pair<std::string, std::string> Header(std::string_view name,
                                           std::string value) {
  return {std::string(name), std::move(value)};
}

HttpCall MakeCall(std::string_view target, const SubRequest& request) {
  const std::int64_t left =
      std::max<std::int64_t>(ToMillis(request.time_left), 1);
  return {.method = "POST",
          .target = std::string(target),
          .headers = {Header(headers::kAttempt, request.attempt),
                      Header(headers::kShard, request.shard),
                      Header(headers::kDeadlineMs, std::to_string(left))},
          .body = request.query};
}

// Returns the number of elements if `text` is a complete JSON array.
std::optional<std::uint64_t> CountItems(const std::string& text) {
  const auto items = nlohmann::json::parse(text, nullptr, false);
  if (!items.is_array()) return std::nullopt;
  return items.size();
}

// Returns the error type that the status of a refusal stands for.
ErrorType RefusalType(const HttpReply& reply) {
  constexpr int kConflict = 409;
  constexpr int kMisdirected = 421;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  switch (reply.status) {
    case kConflict:
      return ErrorType::kVersionGone;
    case kMisdirected:
      return ErrorType::kWrongShard;
    case kTooMany:
      return ErrorType::kShed;
    case kUnavailable:
      return reply.header(headers::kState) == "draining"
                 ? ErrorType::kUpstreamDraining
                 : ErrorType::kShed;
    default:
      return ErrorType::kUpstreamError;
  }
}

constexpr int kHttpOk = 200;

}  // namespace

HttpCall MakeQueryCall(const SubRequest& request) {
  HttpCall call = MakeCall("/query", request);
  call.headers.push_back(
      Header(headers::kVersion, std::to_string(request.version)));
  return call;
}

HttpCall MakeWriteCall(std::string_view write_id, const SubRequest& request) {
  HttpCall call = MakeCall("/write", request);
  call.headers.push_back(Header(headers::kWriteId, std::string(write_id)));
  return call;
}

Result<SubAnswer> ParseQueryReply(const SubRequest& request, HttpReply& reply,
                                  std::vector<IndexVersion>& versions) {
  versions = ParseVersions(reply.header(headers::kVersions));
  if (reply.status != kHttpOk) {
    return Error{RefusalType(reply),
                 "HTTP status " + std::to_string(reply.status)};
  }
  if (reply.header(headers::kAttempt) != request.attempt ||
      reply.header(headers::kShard) != request.shard) {
    return Error{ErrorType::kMismatchedAnswer,
                 "the answer echoes another attempt or shard"};
  }
  const auto version = ParseNumber(reply.header(headers::kVersion));
  if (!version || *version == kAnyVersion ||
      (request.version != kAnyVersion && *version != request.version)) {
    return Error{ErrorType::kMismatchedAnswer,
                 "the answer is from another index version"};
  }
  const auto count = ParseNumber(reply.header(headers::kCount));
  const auto items = CountItems(reply.body);
  if (!count || !items || *count != *items) {
    return Error{ErrorType::kMalformedAnswer,
                 "the number of items differs from the count header"};
  }
  SubAnswer answer;
  answer.instance = std::string(reply.header(headers::kInstance));
  answer.part.shard = request.shard;
  answer.part.version = *version;
  answer.part.versions = versions;
  answer.part.items = std::move(reply.body);
  answer.part.item_count = *items;
  return answer;
}

WriteReply ParseWriteReply(std::string_view attempt, HttpReply& reply) {
  const bool echoes_attempt = reply.header(headers::kAttempt) == attempt;
  if (!echoes_attempt) {
    return {.outcome = WriteOutcome::kUnknown,
            .reason = ErrorType::kMismatchedAnswer,
            .body = ""};
  }
  if (reply.status == kHttpOk && reply.header(headers::kRan) == "true") {
    return {.outcome = WriteOutcome::kDone,
            .reason = ErrorType::kOutcomeUnknown,
            .body = std::move(reply.body)};
  }
  const bool not_run = reply.header(headers::kRan) == "false";
  return {.outcome = not_run ? WriteOutcome::kNotRun : WriteOutcome::kUnknown,
          .reason = RefusalType(reply),
          .body = ""};
}

}  // namespace lacewingknot
