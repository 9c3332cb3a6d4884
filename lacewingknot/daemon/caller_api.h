// The JSON that callers and operators send and get; docs/API.md describes it.
//
// Pure functions between JSON text and the traffic core's types. Thread-safe.

#ifndef LACEWINGKNOT_DAEMON_CALLER_API_H_
#define LACEWINGKNOT_DAEMON_CALLER_API_H_

#include <string>
#include <vector>

#include "lacewingknot/http/server.h"
#include "lacewingknot/traffic/traffic_core.h"

namespace lacewingknot {

// kInvalidRequest names the field at fault.
Result<QueryRequest> ParseQueryRequest(const std::string& body);
Result<WriteRequest> ParseWriteRequest(const std::string& body);

ServerReply QueryReply(const QueryRequest& request, const QueryAnswer& answer);
ServerReply WriteReplyFor(const WriteRequest& request,
                          const WriteResult& result);

// The request a refusal is about, as far as it is known.
struct RefusedRequest {
  std::string service;
  std::optional<Duration> deadline;
};

// A refusal: the request was not run.
ServerReply RefusalReply(const RefusedRequest& request, const Error& error);

ServerReply ExplainReply(const std::string& service,
                         const std::vector<UpstreamStatus>& upstreams);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_DAEMON_CALLER_API_H_
