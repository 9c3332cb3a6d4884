// Maps the host and path of a request to the service or the shards that answer
// it.
//
// A RoutingTable is one version of the operators' configuration: routes, the
// limits of each service and the limits on clients. It is immutable and is
// shared by every request that started under it, so that all shards of one
// answer come from the same version.
//
// Thread-safe: immutable after construction.
//
// Example:
//   RoutingTable table({.version = 7, .routes = {...}});
//   if (const RouteSpec* route = table.Find("shop.example", "/search/1")) ...

#ifndef LACEWINGKNOT_EDGE_ROUTING_TABLE_H_
#define LACEWINGKNOT_EDGE_ROUTING_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/edge/team_table.h"

namespace lacewingknot::edge {

// Whether a request may be sent again after an attempt with unknown outcome.
enum class RetryPolicy { kIdempotent, kAtMostOnce };

// One of the services among which a route distributes its requests.
struct RouteTarget {
  std::string service;
  double weight = 1;
};

struct RouteSpec {
  std::string name;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  RetryPolicy retry_policy = RetryPolicy::kAtMostOnce;
  Duration timeout{};             // Longest time until the client is answered.
  Duration target_latency{};      // The latency objective.
  std::int64_t max_attempts = 1;  // Per request, or per shard of a request.
  std::int64_t priority = 0;      // 0 is the most urgent.
  bool is_public = false;         // Requests need no key.

  // A request is sent to one upstream of one of these services.
  std::vector<RouteTarget> targets;

  // Alternatively, it is sent to one upstream of each of these services, and
  // the top `top_records` of their fixed-size records form the answer.
  std::vector<std::string> shards;
  std::size_t top_records = 0;
  // Minimum coverage: the share of shards, 0 to 1, that a successful answer
  // must contain.
  double min_coverage = 0;

  bool is_scatter() const { return !shards.empty(); }
};

struct ServiceLimits {
  // Connections that one upstream accepts from all clients together.
  std::int64_t max_connections = 1;
  // Requests per second that a cold upstream can handle; 0 for no limit.
  double cold_requests_per_second = 0;
  // How long an upstream is cold after its start.
  Duration cold_time = std::chrono::seconds(10);
  // Path of the upstreams' health checks; empty if there are none.
  std::string health_path;
};

// Limits on what clients may send.
struct ClientLimits {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = 262'144;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

class RoutingTable {
 public:
  struct Options {
    std::uint64_t version = 0;   // Assigned to the configuration by operators.
    std::uint64_t revision = 0;  // Revision of the store that contains it.
    std::vector<RouteSpec> routes;
    std::map<std::string, ServiceLimits, std::less<>> services;
    ClientLimits client_limits;
    TeamTable teams;  // Empty: requests need no key.
  };

  explicit RoutingTable(Options options);

  // Returns the route of `host` with the longest prefix of `path`; null if
  // there is none. `host` may include a port; `path` may include a query
  // string.
  const RouteSpec* Find(std::string_view host, std::string_view path) const;

  // Returns the position of a route that Find() returned.
  std::size_t IndexOf(const RouteSpec* route) const {
    return static_cast<std::size_t>(route - options_.routes.data());
  }

  const std::vector<RouteSpec>& routes() const { return options_.routes; }
  const ClientLimits& client_limits() const { return options_.client_limits; }
  const TeamTable& teams() const { return options_.teams; }
  std::uint64_t version() const { return options_.version; }
  std::uint64_t revision() const { return options_.revision; }

  // Returns the limits of `service`, or defaults if it is not configured.
  ServiceLimits LimitsOf(std::string_view service) const;

 private:
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  template <typename T>
  using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

  Options options_;
  TextMap<TextMap<std::size_t>> by_host_;  // Host to prefix to position.
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_ROUTING_TABLE_H_
