#include "lacewingknot/edge/routing_table.h"

#include <gtest/gtest.h>

namespace lacewingknot::edge {
namespace {

class RoutingTableTest : public ::testing::Test {
 protected:
  static RouteSpec Named(std::string name, std::string host,
                         std::string prefix) {
    return {.name = std::move(name),
            .host = std::move(host),
            .prefix = std::move(prefix)};
  }

  std::string Found(std::string_view host, std::string_view path) const {
    const RouteSpec* route = table_.Find(host, path);
    return route == nullptr ? "" : route->name;
  }

  RoutingTable table_{{.routes = {Named("root", "a.example", "/"),
                                  Named("short", "a.example", "/shop/"),
                                  Named("long", "a.example", "/shop/birch/"),
                                  Named("only", "b.example", "/x/")},
                       .services = {{"s", {.max_connections = 25}}}}};
};

TEST_F(RoutingTableTest, Path_SeveralPrefixesMatch_TakesTheLongest) {
  EXPECT_EQ(Found("a.example", "/shop/birch/7"), "long");
  EXPECT_EQ(Found("a.example", "/shop/birches"), "short");
  EXPECT_EQ(Found("a.example", "/shop/"), "short");
  EXPECT_EQ(Found("a.example", "/shop"), "root");
}

TEST_F(RoutingTableTest, Path_WithQuery_SlashesBehindItDoNotCount) {
  EXPECT_EQ(Found("a.example", "/shop?next=/shop/birch/"), "root");
}

TEST_F(RoutingTableTest, Host_InOtherCaseOrWithPort_IsTheSame) {
  EXPECT_EQ(Found("A.Example:8104", "/shop/1"), "short");
}

TEST_F(RoutingTableTest, Request_NothingMatches_HasNoRoute) {
  EXPECT_EQ(Found("b.example", "/y/"), "");
  EXPECT_EQ(Found("c.example", "/"), "");
  EXPECT_EQ(Found("b.example", "no-slash"), "");
  EXPECT_EQ(Found("b.example", ""), "");
}

TEST_F(RoutingTableTest, Service_NotNamed_HasDefaults) {
  EXPECT_EQ(table_.LimitsOf("s").max_connections, 25);
  EXPECT_EQ(table_.LimitsOf("t").max_connections, 1);
}

}  // namespace
}  // namespace lacewingknot::edge
