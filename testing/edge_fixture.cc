#include "testing/edge_fixture.h"

#include <boost/asio/write.hpp>
#include <utility>

namespace lacewingknot::testing {

namespace asio = boost::asio;
using std::chrono::milliseconds;

RawClient::RawClient(asio::io_context& io, std::uint16_t port)
    : state_(std::make_shared<State>(io)) {
  state_->socket.connect({asio::ip::address_v4::loopback(), port});
  Read(state_);
}

void RawClient::Write(std::string_view bytes) {
  asio::write(state_->socket, asio::buffer(bytes.data(), bytes.size()));
}

void RawClient::Close() {
  boost::system::error_code ignored;  // Closing twice is harmless.
  state_->socket.close(ignored);
}

void RawClient::Read(const std::shared_ptr<State>& state) {
  state->socket.async_read_some(
      asio::buffer(state->chunk),
      [state](boost::system::error_code error, std::size_t bytes) {
        state->received.append(state->chunk.data(), bytes);
        state->closed = static_cast<bool>(error);
        if (!error) Read(state);
      });
}

EdgeFixture::EdgeFixture(bool concurrency_limit)
    : core_(
          {.io = &io_,
           .names = &names_,
           .metrics = &metrics_,
           // Early enough that the whole share of extra attempts is available.
           .started_at = BootClock::now() - std::chrono::minutes(1),
           .data_centre = "here",
           .extra_ratio = 0.2,
           .extra_attempts = 100,
           .concurrency_limit = concurrency_limit}),
      server_({.core = &core_,
               .listen = "127.0.0.1:0",
               .stop_grace = std::chrono::seconds(6)}) {
  EXPECT_TRUE(server_.Listen().has_value());
}

EdgeFixture::ScriptedUpstream& EdgeFixture::AddUpstream(
    const std::string& service, Handler handler) {
  ScriptedUpstream& upstream = upstreams_.emplace_back();
  upstream.handler = std::move(handler);
  upstream.server = std::make_unique<FakeHttpServer>(
      io_, FakeHttpServer::Options{
               .handler = [&upstream](FakeRequest request,
                                      std::shared_ptr<FakeConnection> at) {
                 upstream.requests.push_back(request);
                 upstream.handler(std::move(request), std::move(at));
               }});
  upstream.record = {
      .id = "up-" + std::to_string(upstreams_.size()),
      .service = service,
      .address = "127.0.0.1:" + std::to_string(upstream.server->port()),
      .data_centre = "here",
      .slots = 2};
  return upstream;
}

FakeReply EdgeFixture::SignedReply(const FakeRequest& request,
                                   std::string body) {
  FakeReply reply{.status = 200,
                  .headers = {{"X-Id", request.header("X-Id")},
                              {"X-Signature", "sig-" + body.substr(0, 4)}}};
  reply.body = std::move(body);
  return reply;
}

std::string EdgeFixture::MakeRecord(char lead) {
  return std::string(1, lead) + "123456789abcdef";
}

EdgeFixture::Handler EdgeFixture::RepliesWith(const std::string& body) {
  return [body](const FakeRequest& request,
                const std::shared_ptr<FakeConnection>& at) {
    at->Reply(SignedReply(request, body));
  };
}

EdgeFixture::Handler EdgeFixture::NeverReplies() {
  return [](const FakeRequest&, const std::shared_ptr<FakeConnection>&) {};
}

void EdgeFixture::ApplyDirectory() {
  auto directory = std::make_shared<edge::Directory>();
  directory->revision = ++revision_;
  directory->confirmed_at = BootClock::now();
  for (const ScriptedUpstream& upstream : upstreams_) {
    directory->upstreams.emplace(upstream.record.id, upstream.record);
  }
  directory->evacuated = evacuated_;
  core_.ApplyDirectory(std::move(directory));
}

void EdgeFixture::ApplyRoutes(std::vector<edge::RouteSpec> routes) {
  core_.ApplyRouting(std::make_shared<edge::RoutingTable>(
      edge::RoutingTable::Options{.version = ++revision_,
                                  .revision = revision_,
                                  .routes = std::move(routes),
                                  .services = service_limits_,
                                  .client_limits = client_limits_,
                                  .teams = edge::TeamTable(teams_)}));
  ApplyDirectory();
}

edge::RouteSpec EdgeFixture::PassRoute(const std::string& service,
                                       edge::RetryPolicy repeat) {
  return {.name = "pass",
          .host = "h.example",
          .prefix = "/p/",
          .retry_policy = repeat,
          .timeout = milliseconds(2'000),
          .target_latency = milliseconds(400),
          .max_attempts = 2,
          .targets = {{.service = service}}};
}

edge::RouteSpec EdgeFixture::ScatterRoute(std::vector<std::string> shards) {
  return {.name = "scatter",
          .host = "h.example",
          .prefix = "/s/",
          .retry_policy = edge::RetryPolicy::kIdempotent,
          .timeout = milliseconds(2'000),
          .target_latency = milliseconds(300),
          .max_attempts = 2,
          .shards = std::move(shards),
          .top_records = 3,
          .min_coverage = 0.5};
}

HttpReply EdgeFixture::SendRequest(const std::string& target,
                                   const std::string& id,
                                   const std::string& body) {
  const auto connection = HttpConnection::Create(
      io_, ParseEndpoint("127.0.0.1:" + std::to_string(server_.port())).value(),
      {});
  std::optional<Result<HttpReply>> reply;
  connection->Connect([&](const Result<void>&) {
    connection->Exchange(
        {.method = body.empty() ? "GET" : "POST",
         .target = target,
         .headers = {{"Host", "h.example"}, {"X-Id", id}, {"X-Left", "1500"}},
         .body = body},
        [&](Result<HttpReply> result) { reply.emplace(std::move(result)); });
  });
  RunUntil([&] { return reply.has_value(); });
  connection->Close();
  EXPECT_TRUE(reply->has_value());
  return reply->has_value() ? reply->value() : HttpReply{};
}

void EdgeFixture::RunUntil(const std::function<bool()>& done) {
  constexpr std::chrono::seconds kTimeout{10};
  const TimePoint end = BootClock::now() + kTimeout;
  while (!done()) {
    ASSERT_LT(BootClock::now(), end) << "condition not met within 10 seconds";
    io_.restart();
    io_.run_one_for(milliseconds(20));
  }
}

void EdgeFixture::RunFor(Duration duration) {
  const TimePoint end = BootClock::now() + duration;
  RunUntil([&] { return BootClock::now() >= end; });
}

}  // namespace lacewingknot::testing
