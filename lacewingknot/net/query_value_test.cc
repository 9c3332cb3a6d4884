#include "lacewingknot/net/query_value.h"

#include <gtest/gtest.h>

namespace lacewingknot {
namespace {

TEST(QueryValueTest, Text_AnyBytes_IsEncoded) {
  EXPECT_EQ(EncodeQueryValue("servers/i-1"), "servers/i-1");
  EXPECT_EQ(EncodeQueryValue("a b&c=%\n\xff"), "a%20b%26c%3D%25%0A%FF");
}

}  // namespace
}  // namespace lacewingknot
