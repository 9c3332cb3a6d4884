// Tests the command against a control server that gives one explanation.

#include "lacewingknot/ctl/explain_request.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "lacewingknot/edge/control_server.h"
#include "lacewingknot/edge/request_explanation.h"

namespace lacewingknot::ctl {
namespace {

constexpr std::string_view kKey = "k-search-4711";

class ExplainRequestTest : public ::testing::Test {
 protected:
  ExplainRequestTest() {
    server_.HandleRequest(
        "/explain-request", [this](const edge::ControlRequest& request) {
          credentials_ = request.credentials;
          host_ = edge::QueryParameter(request.query, "host").value_or("");
          path_ = edge::QueryParameter(request.query, "path").value_or("");
          return edge::ControlReply{.content_type = "application/json",
                                    .body = edge::ToJson(explanation_)};
        });
    // Ports of other tests that run at the same time differ.
    for (int port = 24'000 + getpid() % 1'000; port < 26'000; ++port) {
      address_ = "127.0.0.1:" + std::to_string(port);
      if (server_.Listen(address_)) break;
    }
    thread_ = std::thread([this] { io_.run(); });
    std::ofstream(key_file_) << kKey << "\n";
  }
  ~ExplainRequestTest() override {
    io_.stop();
    thread_.join();
    std::filesystem::remove(key_file_);
  }

  int Run(const std::string& key_file, bool json = false) {
    return ExplainRequest(
        address_,
        {.host = "h.example", .path = "/s/1?q=a b&c", .key_file = key_file},
        {out_, err_, json});
  }
  bool PrintsKey() const {
    return (out_.str() + err_.str()).find(kKey) != std::string::npos;
  }

  boost::asio::io_context io_;
  edge::ControlServer server_{io_};
  std::string address_;
  std::thread thread_;
  std::string key_file_ =
      ::testing::TempDir() + "key-" + std::to_string(getpid());
  edge::RequestExplanation explanation_;
  std::vector<std::string> credentials_;
  std::string host_;
  std::string path_;
  std::ostringstream out_;
  std::ostringstream err_;
};

TEST_F(ExplainRequestTest, Request_Sent_ArrivesWholeAndKeyIsNotPrinted) {
  for (const bool json : {false, true}) {
    EXPECT_EQ(Run(key_file_, json), kExitOk);
    EXPECT_EQ(host_, "h.example");
    EXPECT_EQ(path_, "/s/1?q=a b&c");
    EXPECT_EQ(credentials_,
              std::vector<std::string>{"Bearer " + std::string(kKey)});
  }
  EXPECT_NE(out_.str().find("verdict    sent\n"), std::string::npos);
  EXPECT_FALSE(PrintsKey());
}

TEST_F(ExplainRequestTest, Request_Refused_StatusAndRetryAfterArePrinted) {
  explanation_.verdict = {.outcome = "refused",
                          .status = 503,
                          .cause = "too_few_shards",
                          .retry_after_ms = 300};
  EXPECT_EQ(Run(""), kExitNegative);
  EXPECT_TRUE(credentials_.empty());
  EXPECT_NE(out_.str().find(
                "refused with 503, too_few_shards, Retry-After 0.300 s\n"),
            std::string::npos);
}

// Guards against an operator's key in the terminal's history of errors.
TEST_F(ExplainRequestTest, KeyFile_IsTheKeyItself_KeyIsNotPrinted) {
  EXPECT_EQ(Run(std::string(kKey)), kExitUsage);
  EXPECT_FALSE(PrintsKey());
  EXPECT_NE(err_.str(), "");
}

// Guards against a key that adds a header to the request.
TEST_F(ExplainRequestTest, KeyFile_WithControlCharacter_IsRefused) {
  std::ofstream(key_file_) << "a\rX: 1\n";
  EXPECT_EQ(Run(key_file_), kExitUsage);
  EXPECT_EQ(host_, "");
}

TEST(QueryParameterTest, Values_Malformed_AreRefused) {
  EXPECT_EQ(edge::QueryParameter("a=1&host=%68%2Fx&b", "host"), "h/x");
  for (const std::string_view query :
       {"", "host", "host=", "xhost=1", "host=%", "host=%6", "host=%zz"}) {
    EXPECT_FALSE(edge::QueryParameter(query, "host").has_value()) << query;
  }
}

}  // namespace
}  // namespace lacewingknot::ctl
