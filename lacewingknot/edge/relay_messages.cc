#include "lacewingknot/edge/relay_messages.h"

#include <algorithm>
#include <array>
#include <msgpack.hpp>
#include <tuple>
#include <utility>

#include "lacewingknot/edge/internal/frame.h"
#include "lacewingknot/edge/internal/statement_codec.h"

namespace lacewingknot::edge {
namespace {

// Rejects peers of another protocol: valid frames are far shorter.
constexpr std::size_t kMaxFrameBytes = 16 << 20;
// More than the upstreams of all shards of a query.
constexpr std::size_t kMaxStatements = 4'096;

// More than a message of the most statements and attempts has.
constexpr std::size_t kMaxObjects = 128 << 10;

// Message kinds. A message with a new layout needs a new number.
constexpr std::uint32_t kAttemptRequestKind = 5;
constexpr std::uint32_t kResultsKind = 6;
constexpr std::uint32_t kAbandonKind = 3;
constexpr std::uint32_t kStopNoticeKind = 4;

using WireAttempt =
    std::tuple<std::uint64_t, std::string, std::uint32_t, bool, bool>;
using WireAttemptRequest =
    std::tuple<std::uint32_t, std::uint64_t, std::string, std::string,
               std::string, std::int64_t, std::int64_t, std::int64_t, bool,
               std::int64_t, std::int64_t, std::vector<WireAttempt>>;
using WireResult =
    std::tuple<std::uint64_t, std::uint32_t, std::int32_t, std::string,
               std::string, std::string, std::string>;
// Daemons of earlier releases send no statements and ignore them.
using WireResults =
    std::tuple<std::uint32_t, std::uint64_t, std::vector<WireResult>,
               std::string, std::vector<WireStatement>>;
using WireAbandon = std::tuple<std::uint32_t, std::uint64_t>;
using WireStopNotice = std::tuple<std::uint32_t>;

// Causes that upstreams and relays report for attempts without an answer.
constexpr std::array<std::string_view, 28> kKnownCauses{
    "",
    kCauseRelayLost,
    "unusable",
    "connect_failed",
    "misdirected",
    "write_failed",
    "malformed_answer",
    "answer_cut",
    "connection_lost",
    "answer_of_another_request",
    "abandoned",
    "retired",
    "silent",
    "stray_bytes",
    "idle_too_long",
    kCauseNoReplica,
    kCauseWithheld,
    "leaving",
    "waiting",
    kCauseNoBudget,
    kCauseExpired,
    kCauseUnsigned,
    kCauseAnsweredAlready,
    kCauseBetterElsewhere,
    "closed_while_idle",
    kCauseAnswerTooLarge,
    kCauseAnswerBudget,
    kCauseInvalidStatus};

struct Packer {
  msgpack::sbuffer& bytes;

  void operator()(const RelayAttemptRequest& request) const {
    std::vector<WireAttempt> attempts;
    attempts.reserve(request.attempts.size());
    for (const RelayAttempt& attempt : request.attempts) {
      attempts.emplace_back(attempt.number, attempt.service,
                            static_cast<std::uint32_t>(attempt.kind),
                            attempt.is_mandatory, attempt.returns_own_records);
    }
    msgpack::pack(
        bytes,
        WireAttemptRequest(
            kAttemptRequestKind, request.query, request.head, request.body,
            request.request_id, request.time_left_ms, request.mean_latency_us,
            request.priority, request.is_urgent, request.top_records,
            request.max_batch_delay_us, std::move(attempts)));
  }
  void operator()(const RelayResults& message) const {
    std::vector<WireResult> results;
    results.reserve(message.results.size());
    for (const RelayResult& result : message.results) {
      results.emplace_back(
          result.number, static_cast<std::uint32_t>(result.end), result.status,
          result.cause, result.upstream, result.signature, result.records);
    }
    msgpack::pack(bytes, WireResults(kResultsKind, message.query,
                                     std::move(results), message.records,
                                     EncodeStatements(message.statements)));
  }
  void operator()(const RelayAbandon& message) const {
    msgpack::pack(bytes, WireAbandon(kAbandonKind, message.query));
  }
  void operator()(const RelayStopNotice& /*message*/) const {
    msgpack::pack(bytes, WireStopNotice(kStopNoticeKind));
  }
};

template <typename Enum>
Enum CheckedEnum(std::uint32_t value, std::size_t count) {
  if (value >= count) throw msgpack::type_error();
  return static_cast<Enum>(value);
}

RelayAttemptRequest ParseAttemptRequest(const msgpack::object& object) {
  auto [kind, query, head, body, request_id, useful_ms, usual_us, priority,
        urgent, top_records, gather_us, attempts] =
      object.as<WireAttemptRequest>();
  RelayAttemptRequest request{.query = query,
                              .head = std::move(head),
                              .body = std::move(body),
                              .request_id = std::move(request_id),
                              .time_left_ms = useful_ms,
                              .mean_latency_us = usual_us,
                              .priority = priority,
                              .is_urgent = urgent,
                              .top_records = top_records,
                              .max_batch_delay_us = gather_us};
  for (auto& [number, service, attempt_kind, must, separate] : attempts) {
    request.attempts.push_back(
        {.number = number,
         .service = std::move(service),
         .kind = CheckedEnum<AttemptKind>(attempt_kind, kAttemptKindCount),
         .is_mandatory = must,
         .returns_own_records = separate});
  }
  return request;
}

RelayResults ParseResults(const msgpack::object& object) {
  auto [kind, query, results, records, statements] = object.as<WireResults>();
  RelayResults message{
      .query = query,
      .records = std::move(records),
      .statements = DecodeStatements(statements, kMaxStatements)};
  for (auto& [number, end, status, cause, upstream, signature, own_records] :
       results) {
    message.results.push_back(
        {.number = number,
         .end = CheckedEnum<AttemptEnd>(end, kAttemptEndCount),
         .status = status,
         .cause = std::move(cause),
         .upstream = std::move(upstream),
         .signature = std::move(signature),
         .records = std::move(own_records)});
  }
  return message;
}

RelayMessage ParseMessage(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) {
    throw msgpack::type_error();
  }
  switch (object.via.array.ptr[0].as<std::uint32_t>()) {
    case kAttemptRequestKind:
      return ParseAttemptRequest(object);
    case kResultsKind:
      return ParseResults(object);
    case kAbandonKind:
      return RelayAbandon{.query = std::get<1>(object.as<WireAbandon>())};
    case kStopNoticeKind:
      return RelayStopNotice{};
    default:
      throw msgpack::type_error();
  }
}

}  // namespace

std::string EncodeRelayFrame(const RelayMessage& message) {
  msgpack::sbuffer bytes;
  std::visit(Packer{bytes}, message);
  return internal::EncodeFrame({bytes.data(), bytes.size()});
}

Result<std::optional<RelayMessage>> ExtractRelayFrame(std::string& received) {
  return internal::ExtractFrame<RelayMessage>(
      received, {.max_bytes = kMaxFrameBytes, .max_objects = kMaxObjects},
      ParseMessage);
}

std::string_view InternCause(std::string_view cause) {
  const auto* found =
      std::find(kKnownCauses.begin(), kKnownCauses.end(), cause);
  return found == kKnownCauses.end() ? std::string_view("other") : *found;
}

}  // namespace lacewingknot::edge
