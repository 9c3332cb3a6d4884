#include "lacewingknot/daemon/caller_api.h"

#include <nlohmann/json.hpp>

namespace lacewingknot {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::int64_t kMaxDeadlineMs = 60'000;

Error InvalidField(std::string_view field, std::string_view accepted) {
  return {ErrorType::kInvalidRequest,
          std::string(field) + ": accepted: " + std::string(accepted)};
}

Result<std::string> ReadString(const json& document, const char* field,
                               std::size_t max_bytes) {
  const auto it = document.find(field);
  if (it == document.end() || !it->is_string()) {
    return InvalidField(field, "text");
  }
  auto text = it->get<std::string>();
  if (text.empty() || text.size() > max_bytes) {
    return InvalidField(field, "1 to " + std::to_string(max_bytes) + " bytes");
  }
  return text;
}

// Reads a name. Names are also sent in headers of requests to upstreams, so
// only printable ASCII is accepted.
Result<std::string> ReadName(const json& document, const char* field) {
  auto name = ReadString(document, field, kMaxNameBytes);
  if (!name) return name;
  const bool printable =
      std::all_of(name.value().begin(), name.value().end(),
                  [](unsigned char c) { return c > 0x20 && c < 0x7f; });
  if (!printable) return InvalidField(field, "printable ASCII without spaces");
  return name;
}

Result<std::optional<Duration>> ReadDuration(const json& document,
                                             const char* field) {
  const auto it = document.find(field);
  if (it == document.end()) return std::optional<Duration>();
  const std::string accepted =
      "a whole number from 1 to " + std::to_string(kMaxDeadlineMs);
  if (!it->is_number_integer()) return InvalidField(field, accepted);
  const auto millis = it->get<std::int64_t>();
  if (millis < 1 || millis > kMaxDeadlineMs) {
    return InvalidField(field, accepted);
  }
  return std::optional<Duration>(std::chrono::milliseconds(millis));
}

Result<json> ReadObject(const std::string& body) {
  json document = json::parse(body, nullptr, false);
  if (!document.is_object()) return InvalidField("body", "a JSON object");
  return document;
}

int HttpStatusOf(ErrorType type) {
  switch (type) {
    case ErrorType::kInvalidRequest:
    case ErrorType::kDeadlineTooShort:
      return 400;
    case ErrorType::kUnknownService:
      return 404;
    case ErrorType::kDuplicateWrite:
      return 409;
    case ErrorType::kRequestTooLarge:
      return 413;
    case ErrorType::kOverloaded:
      return 429;
    default:
      return 503;
  }
}

}  // namespace

Result<QueryRequest> ParseQueryRequest(const std::string& body) {
  BOOST_OUTCOME_TRY(document, ReadObject(body));
  BOOST_OUTCOME_TRY(service, ReadName(document, "service"));
  BOOST_OUTCOME_TRY(query, ReadString(document, "query", body.size()));
  BOOST_OUTCOME_TRY(deadline, ReadDuration(document, "deadline_ms"));
  BOOST_OUTCOME_TRY(partial, ReadDuration(document, "partial_after_ms"));
  return QueryRequest{.service = service,
                      .query = query,
                      .deadline = deadline,
                      .partial_after = partial};
}

Result<WriteRequest> ParseWriteRequest(const std::string& body) {
  BOOST_OUTCOME_TRY(document, ReadObject(body));
  BOOST_OUTCOME_TRY(service, ReadName(document, "service"));
  BOOST_OUTCOME_TRY(id, ReadName(document, "id"));
  BOOST_OUTCOME_TRY(text, ReadString(document, "body", body.size()));
  BOOST_OUTCOME_TRY(deadline, ReadDuration(document, "deadline_ms"));
  return WriteRequest{
      .service = service, .id = id, .body = text, .deadline = deadline};
}

ServerReply MakeQueryReply(const QueryRequest& request,
                           const QueryAnswer& answer) {
  json missing = json::array();
  for (const MissingShard& shard : answer.missing) {
    missing.push_back(
        {{"shard", shard.shard}, {"reason", ErrorTypeName(shard.reason)}});
  }
  json head = {{"service", request.service},
               {"version", answer.version},
               {"coverage",
                {{"asked", answer.shards_asked},
                 {"answered", answer.parts.size()},
                 {"missing", std::move(missing)}}},
               {"attempts",
                {{"sent", answer.attempts},
                 {"retries", answer.retries},
                 {"hedges", answer.hedges},
                 {"restarted", answer.restarted}}}};
  // The items of each part are a JSON array already, so they are inserted as
  // text and not parsed again.
  std::string body = head.dump();
  body.back() = ',';
  body += "\"shards\":{";
  const char* separator = "";
  for (const Part& part : answer.parts) {
    body += separator;
    body += json(part.shard).dump() + ":" + part.items;
    separator = ",";
  }
  body += "}}";
  return {.status = 200, .body = std::move(body)};
}

ServerReply MakeWriteReply(const WriteRequest& request,
                           const WriteResult& result) {
  json body = {{"service", request.service},
               {"id", request.id},
               {"outcome", WriteOutcomeName(result.outcome)},
               {"attempts", result.attempts}};
  if (result.outcome == WriteOutcome::kDone) {
    body["body"] = result.body;
    return {.status = 200, .body = body.dump()};
  }
  const bool not_run = result.outcome == WriteOutcome::kNotRun;
  body["error"] = {{"type", ErrorTypeName(*result.reason)},
                   {"ran", not_run ? "not_run" : "unknown"}};
  constexpr int kNotRunStatus = 503;
  constexpr int kUnknownStatus = 504;
  return {.status = not_run ? kNotRunStatus : kUnknownStatus,
          .body = body.dump()};
}

ServerReply MakeRefusalReply(const RefusedRequest& request,
                             const Error& error) {
  json body = {{"type", ErrorTypeName(error.type)},
               {"ran", "not_run"},
               {"service", request.service},
               {"detail", error.detail}};
  if (request.deadline) body["deadline_ms"] = ToMillis(*request.deadline);
  constexpr auto kReplaceBadText = json::error_handler_t::replace;
  return {.status = HttpStatusOf(error.type),
          .body = json{{"error", body}}.dump(-1, ' ', false, kReplaceBadText)};
}

ServerReply MakeExplainReply(const std::string& service,
                             const std::vector<UpstreamStatus>& upstreams) {
  json all = json::array();
  for (const UpstreamStatus& status : upstreams) {
    all.push_back(
        {{"upstream", status.name},
         {"shard", status.service},
         {"data_centre", status.data_centre},
         {"usable", !status.unavailable_reason && status.allowance > 0},
         {"reason", status.reason},
         {"instance", status.instance},
         {"level", status.level},
         {"allowance", status.allowance},
         {"in_flight", status.in_flight},
         {"owner", status.is_owner}});
  }
  return {.body = json{{"service", service}, {"upstreams", all}}.dump()};
}

}  // namespace lacewingknot
