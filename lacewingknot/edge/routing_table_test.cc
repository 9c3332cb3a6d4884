#include "lacewingknot/edge/routing_table.h"

#include <gtest/gtest.h>

namespace lacewingknot::edge {
namespace {

class RoutingTableTest : public ::testing::Test {
 protected:
  static RouteSpec MakeRoute(std::string name, std::string host,
                             std::string prefix) {
    return {.name = std::move(name),
            .host = std::move(host),
            .prefix = std::move(prefix)};
  }

  std::string FindRouteName(std::string_view host,
                            std::string_view path) const {
    const RouteSpec* route = table_.Find(host, path);
    return route == nullptr ? "" : route->name;
  }

  RoutingTable table_{
      {.routes = {MakeRoute("root", "a.example", "/"),
                  MakeRoute("short", "a.example", "/shop/"),
                  MakeRoute("long", "a.example", "/shop/birch/"),
                  MakeRoute("only", "b.example", "/x/")},
       .services = {{"s", {.max_connections = 25}}}}};
};

TEST_F(RoutingTableTest, Path_SeveralPrefixesMatch_TakesTheLongest) {
  EXPECT_EQ(FindRouteName("a.example", "/shop/birch/7"), "long");
  EXPECT_EQ(FindRouteName("a.example", "/shop/birches"), "short");
  EXPECT_EQ(FindRouteName("a.example", "/shop/"), "short");
  EXPECT_EQ(FindRouteName("a.example", "/shop"), "root");
}

TEST_F(RoutingTableTest, Path_SlashesInQuery_AreIgnored) {
  EXPECT_EQ(FindRouteName("a.example", "/shop?next=/shop/birch/"), "root");
}

TEST_F(RoutingTableTest, Host_UpperCaseOrWithPort_MatchesSameRoutes) {
  EXPECT_EQ(FindRouteName("A.Example:8104", "/shop/1"), "short");
}

TEST_F(RoutingTableTest, Request_NoPrefixMatches_HasNoRoute) {
  EXPECT_EQ(FindRouteName("b.example", "/y/"), "");
  EXPECT_EQ(FindRouteName("c.example", "/"), "");
  EXPECT_EQ(FindRouteName("b.example", "no-slash"), "");
  EXPECT_EQ(FindRouteName("b.example", ""), "");
}

TEST_F(RoutingTableTest, Service_NotConfigured_HasDefaultLimits) {
  EXPECT_EQ(table_.LimitsOf("s").max_connections, 25);
  EXPECT_EQ(table_.LimitsOf("t").max_connections, 1);
}

}  // namespace
}  // namespace lacewingknot::edge
