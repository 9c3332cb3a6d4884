// Conversion between the JSON of the HTTP API for callers and operators, which
// docs/API.md describes, and the types of the traffic core.
//
// Pure functions; thread-safe.
//
// Example:
//   auto request = ParseQueryRequest(body);
//   if (!request) return MakeRefusalReply({}, request.error());

#ifndef LACEWINGKNOT_DAEMON_CALLER_API_H_
#define LACEWINGKNOT_DAEMON_CALLER_API_H_

#include <string>
#include <vector>

#include "lacewingknot/http/server.h"
#include "lacewingknot/traffic/traffic_core.h"

namespace lacewingknot {

// kInvalidRequest if a field is missing or not accepted; `detail` names the
// field and what is accepted.
Result<QueryRequest> ParseQueryRequest(const std::string& body);
Result<WriteRequest> ParseWriteRequest(const std::string& body);

// The reply to a query that was answered, completely or partially: status 200.
ServerReply MakeQueryReply(const QueryRequest& request,
                           const QueryAnswer& answer);

// The reply to an accepted write: status 200 if it is done, 503 if it was not
// run, 504 if its outcome is unknown.
ServerReply MakeWriteReply(const WriteRequest& request,
                           const WriteResult& result);

// The refused request; fields that could not be parsed stay empty.
struct RefusedRequest {
  std::string service;
  std::optional<Duration> deadline;
};

// The reply to a request that was refused without being run. The HTTP status
// follows from `error.type`.
ServerReply MakeRefusalReply(const RefusedRequest& request, const Error& error);

// The state of a service's upstreams and whether each can be used now.
ServerReply MakeExplainReply(const std::string& service,
                             const std::vector<UpstreamStatus>& upstreams);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_DAEMON_CALLER_API_H_
