// Which service or shards answer a request, by its host and path.
//
// A RoutingTable is one version of the operators' configuration: routes, the
// limits of each service and the limits on clients. It is immutable and is
// shared by every request that started under it, so that the shards of one
// answer always come from one version.
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

namespace lacewingknot::edge {

// What may be sent again after an attempt whose outcome is unknown.
enum class Repeat { kIdempotent, kAtMostOnce };

// One of the services among which a route divides its requests.
struct RouteTarget {
  std::string service;
  double weight = 1;
};

struct RouteSpec {
  std::string name;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  Repeat repeat = Repeat::kAtMostOnce;
  Duration timeout{};             // The longest time a client is kept waiting.
  Duration target_latency{};      // The latency objective.
  std::int64_t max_attempts = 1;  // Upstreams for each request and shard.
  std::int64_t priority = 0;      // 0 is the most urgent.

  // A request goes to one upstream of one of these services.
  std::vector<RouteTarget> targets;

  // Or to one upstream of each of these services, whose fixed-size records are
  // merged into the greatest `top_records`.
  std::vector<std::string> shards;
  std::size_t top_records = 0;
  // The least share of the shards with which an answer is a success.
  double min_share = 0;

  bool is_scatter() const { return !shards.empty(); }
};

struct ServiceLimits {
  // Connections that one upstream accepts from all clients together.
  std::int64_t max_connections = 1;
  // Requests a second that a cold upstream bears; 0 if it has no such limit.
  double cold_requests_per_second = 0;
};

// Bounds on what clients may send.
struct ClientLimits {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = 262'144;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

class RoutingTable {
 public:
  struct Options {
    std::uint64_t version = 0;   // The operators' number of this configuration.
    std::uint64_t revision = 0;  // The store's revision that carried it.
    std::vector<RouteSpec> routes;
    std::map<std::string, ServiceLimits, std::less<>> services;
    ClientLimits client_limits;
  };

  explicit RoutingTable(Options options);

  // The route of `host` with the longest prefix that begins `path`; null if
  // there is none. `host` may carry a port; `path` may carry a query.
  const RouteSpec* Find(std::string_view host, std::string_view path) const;

  // Position of a route returned by Find.
  std::size_t IndexOf(const RouteSpec* route) const {
    return static_cast<std::size_t>(route - options_.routes.data());
  }

  const std::vector<RouteSpec>& routes() const { return options_.routes; }
  const ClientLimits& client_limits() const { return options_.client_limits; }
  std::uint64_t version() const { return options_.version; }
  std::uint64_t revision() const { return options_.revision; }

  // Limits of `service`; defaults if the configuration does not name it.
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
  TextMap<TextMap<std::size_t>> by_host_;  // Host, prefix, position.
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_ROUTING_TABLE_H_
