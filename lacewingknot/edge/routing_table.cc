#include "lacewingknot/edge/routing_table.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <utility>

namespace lacewingknot::edge {
namespace {

std::string NormalizeHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  boost::algorithm::to_lower(name);
  return name;
}

}  // namespace

RoutingTable::RoutingTable(Options options) : options_(std::move(options)) {
  for (std::size_t i = 0; i < options_.routes.size(); ++i) {
    const RouteSpec& route = options_.routes[i];
    by_host_[NormalizeHost(route.host)].emplace(route.prefix, i);
  }
}

const RouteSpec* RoutingTable::Find(std::string_view host,
                                    std::string_view path) const {
  const auto routes = by_host_.find(NormalizeHost(host));
  if (routes == by_host_.end()) return nullptr;
  path = path.substr(0, path.find_first_of("?#"));
  // Every prefix ends with a slash, so only cuts after a slash can match.
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = path.rfind('/', end - 1)) {
    const auto found = routes->second.find(path.substr(0, end + 1));
    if (found != routes->second.end()) return &options_.routes[found->second];
    if (end == 0) break;
  }
  return nullptr;
}

ServiceLimits RoutingTable::LimitsOf(std::string_view service) const {
  const auto found = options_.services.find(service);
  return found == options_.services.end() ? ServiceLimits{} : found->second;
}

}  // namespace lacewingknot::edge
