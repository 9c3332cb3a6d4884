// Case: the operator raises the limit of request bodies while requesters hold
// idle connections, and they use these connections again.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "review/standins/harness.h"

namespace lacewingknot::review {
namespace {

constexpr int kRequesters = 40;  // Each with a connection of its own.
constexpr Millis kWorkTime{10};
constexpr Millis kDeadline{3'000};
constexpr std::size_t kOldBodyLimit = 4'096;
constexpr std::size_t kNewBodyLimit = 262'144;
constexpr std::size_t kSmallBody = 100;
constexpr std::size_t kLargeBody = 16'384;
// `config_apply_ms`, and time beyond it. Requesters use connections again that
// were idle for up to four fifths of `idle_timeout_ms` (15 s).
constexpr Millis kApplyTime{3'000};
constexpr Millis kTimeBeyond{2'000};

class RaisedLimit {
 public:
  RaisedLimit(const World::Options& options, bool has_trouble)
      : world_(options),
        requesters_(world_),
        others_(world_),
        has_trouble_(has_trouble) {}

  int Run();

 private:
  void Publish(int version, std::size_t body_limit);
  void StartBackend();
  void SendRound(Requesters& requesters, const std::string& round,
                 std::size_t body);
  int Judge();

  World world_;
  Requesters requesters_;
  Requesters others_;  // Without open connections.
  bool has_trouble_;
  std::unique_ptr<Server> server_;
  std::map<std::string, std::map<int, int>> statuses_;  // By round.
};

void RaisedLimit::Publish(int version, std::size_t body_limit) {
  Json services = Json::array();
  services.push_back({{"name", "orders"},
                      {"health_path", "/health"},
                      {"max_connections", 96},
                      {"protocol", "h1"},
                      {"tls", false},
                      {"cold_start_s", 3.0},
                      {"cold_per_s", 0.0}});
  Json routes = Json::array();
  routes.push_back({{"name", "order"},
                    {"host", "shop.example"},
                    {"prefix", "/order/"},
                    {"kind", "unsafe"},
                    {"timeout_ms", 6000},
                    {"target_latency_ms", 600},
                    {"priority", 1},
                    {"service", "orders"},
                    {"attempts", 2}});
  world_.store().Put("op/config", {{"version", version},
                                   {"routes", routes},
                                   {"services", services},
                                   {"limits",
                                    {{"header_bytes", 16'384},
                                     {"body_bytes", body_limit},
                                     {"header_timeout_ms", 3'000},
                                     {"idle_timeout_ms", 15'000}}}});
  world_.Note("the store confirms version " + std::to_string(version) +
              ", body_bytes " + std::to_string(body_limit));
}

void RaisedLimit::StartBackend() {
  const std::string backend = "i-order-1";
  server_ = std::make_unique<Server>(
      world_.io(), world_.backend_ip(),
      [this, backend](const std::shared_ptr<Connection>& connection,
                      const HttpMessage& request) {
        const std::string id = request.header("request-id");
        world_.Note(id + " runs");
        world_.After(kWorkTime, [connection, id, backend] {
          connection->Write(MakeAnswer(200,
                                       "Request-Id: " + id +
                                           "\r\nServer-Seal: " + backend + "." +
                                           id + "\r\n",
                                       "reserved"));
        });
      });
  world_.store().Put("servers/" + backend, {{"service", "orders"},
                                            {"address", server_->address()},
                                            {"zone", World::ZoneOf(0)},
                                            {"version", "v1"},
                                            {"slots", 50},
                                            {"state", "ready"},
                                            {"cold_remaining_ms", 0},
                                            {"born", 1'700'000'000'000},
                                            {"sequence", 1}});
}

void RaisedLimit::SendRound(Requesters& requesters, const std::string& round,
                            std::size_t body) {
  for (int i = 0; i < kRequesters; ++i) {
    const std::string id = round + std::to_string(i);
    requesters.Send(
        {.address = world_.front_address(i % world_.daemons()),
         .method = "POST",
         .target = "/order/reserve",
         .id = id,
         .deadline = kDeadline,
         .body = std::string(body, 'b'),
         .on_end = [this, id, round](const HttpMessage* answer) {
           const int status = answer == nullptr ? 0 : answer->status();
           ++statuses_[round][status];
           world_.Note("answer to " + id + ": " + std::to_string(status));
         }});
  }
}

int RaisedLimit::Judge() {
  int total = 0;
  int denied = 0;
  for (const auto& [round, counts] : statuses_) {
    std::string line = "round " + round + ":";
    for (const auto& [status, count] : counts) {
      total += count;
      if (status == 413) denied += count;
      line += " " + std::to_string(count) + " x " + std::to_string(status);
    }
    world_.Note(line);
  }
  const int bound = 5 + total / 500;
  world_.Note("DENIED counts " + std::to_string(denied) +
              " proper requests answered 413; bound " + std::to_string(bound));
  if (!world_.AllRun() || statuses_["before"][200] < kRequesters) {
    return kCouldNotRun;
  }
  return denied > bound ? kBroken : kHeld;
}

int RaisedLimit::Run() {
  StartBackend();
  // Without the disruption the limit is the higher one from the start.
  Publish(1, has_trouble_ ? kOldBodyLimit : kNewBodyLimit);
  world_.StartDaemons();
  if (!world_.WaitUntilReady()) return kCouldNotRun;
  SendRound(requesters_, "before", kSmallBody);
  world_.RunFor(Millis(1'000));
  Publish(2, kNewBodyLimit);
  world_.RunFor(kApplyTime + kTimeBeyond);
  SendRound(requesters_, "after", kLargeBody);
  world_.RunFor(Millis(1'000));
  SendRound(others_, "after, on new connections ", kLargeBody);
  world_.RunFor(kDeadline + Millis(200));
  return Judge();
}

}  // namespace
}  // namespace lacewingknot::review

int main(int argc, char** argv) {
  return lacewingknot::review::RunCase(
      argc, argv,
      [](const lacewingknot::review::World::Options& options,
         bool has_trouble) {
        return lacewingknot::review::RaisedLimit(options, has_trouble).Run();
      });
}
