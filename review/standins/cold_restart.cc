// Cases: backends are down for some seconds and come back, cold, each under the
// id and address that it had: all those of one zone, together; or, with the
// argument "turned-away", one of them, while the store turns some machines
// away.

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "review/standins/harness.h"

namespace lacewingknot::review {
namespace {

constexpr int kShards = 6;
constexpr Millis kWorkTime{10};
constexpr Millis kRequestInterval{9};  // About 110 queries a second.
constexpr Millis kDeadline{1'500};
constexpr Millis kCalmTime{6'000};
// Dose of the disruption: `cold_return`, 4.5 s at most.
constexpr Millis kDownTime{500};
// The backends register within this time of each other.
constexpr Millis kRegistrationInterval{20};
constexpr Millis kTimeAfter{6'000};
// Dose of the other disruption: `platform_down` for some machines, a share of
// 0.33 of them, 9 s.
constexpr int kMachinesTurnedAway = 2;
constexpr Millis kTurnedAwayTime{9'000};
constexpr Millis kTurnedAwayBefore{2'000};
// The configuration's `cold_start_s` and `cold_per_s`, and the settings'
// `cold_over` and `cold_slack`.
constexpr Millis kColdTime{3'000};
constexpr double kColdPerSecond = 5;
constexpr double kColdOver = 1.5;
constexpr double kColdSlack = 5;
constexpr Millis kHeartbeat{1'200};
constexpr Millis kSecond{1'000};

struct Backend {
  std::string id;
  std::string service;
  std::string zone;
  std::unique_ptr<Server> server;
  std::int64_t born = 0;
  bool is_down = false;
  Millis cold_until{0};
  std::deque<Millis> sent;  // Requests of the last second while cold.
  std::size_t most_in_a_second = 0;
  Millis most_at{0};
};

class ColdRestart {
 public:
  ColdRestart(const World::Options& options, bool has_trouble, bool turns_away)
      : world_(options),
        requesters_(world_),
        has_trouble_(has_trouble),
        turns_away_(turns_away) {}

  int Run();

 private:
  void StartBackends();
  void Register(const Backend& backend);
  void Restart(Backend& backend);
  void TurnAwayMachines();
  void CrashAndRestart();
  void OnRequest(Backend& backend,
                 const std::shared_ptr<Connection>& connection,
                 const HttpMessage& request);
  void SendRequests();
  int Judge();

  World world_;
  Requesters requesters_;
  bool has_trouble_;
  bool turns_away_;
  bool is_sending_ = true;
  int last_id_ = 0;
  int served_ = 0;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::map<std::string, Millis> sent_at_;  // By id of the request.
};

void ColdRestart::Register(const Backend& backend) {
  const Millis cold = std::max(backend.cold_until - world_.now(), Millis(0));
  world_.store().Put("servers/" + backend.id,
                     {{"service", backend.service},
                      {"address", backend.server->address()},
                      {"zone", backend.zone},
                      {"version", "v1"},
                      {"slots", 2},
                      {"state", "ready"},
                      {"cold_remaining_ms", cold.count()},
                      {"born", backend.born},
                      {"sequence", 1}});
  world_.Note(backend.id + " registers, born " + std::to_string(backend.born) +
              ", cold for " + std::to_string(cold.count()) + " ms");
}

void ColdRestart::StartBackends() {
  Json services = Json::array();
  Json shards = Json::array();
  for (int shard = 0; shard < kShards; ++shard) {
    const std::string service = "shard" + std::to_string(shard + 1);
    shards.push_back(service);
    services.push_back({{"name", service},
                        {"health_path", "/health"},
                        {"max_connections", 25},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"cold_start_s", 3.0},
                        {"cold_per_s", kColdPerSecond}});
    for (int replica = 0; replica < 2; ++replica) {
      auto backend = std::make_unique<Backend>();
      backend->id = "i-" + service + "-" + std::to_string(replica + 1);
      backend->service = service;
      backend->zone = World::ZoneOf(replica);
      backend->born = 1'700'000'000'000 + shard;
      backend->server = std::make_unique<Server>(
          world_.io(), world_.backend_ip(),
          [this, raw = backend.get()](
              const std::shared_ptr<Connection>& connection,
              const HttpMessage& request) {
            OnRequest(*raw, connection, request);
          });
      Register(*backend);
      backends_.push_back(std::move(backend));
    }
  }
  Json routes = Json::array();
  routes.push_back({{"name", "browse"},
                    {"host", "shop.example"},
                    {"prefix", "/browse/"},
                    {"kind", "safe"},
                    {"timeout_ms", 1500},
                    {"target_latency_ms", 150},
                    {"priority", 1},
                    {"gather", shards},
                    {"attempts", 2},
                    {"top_k", 5},
                    {"min_version", 0.5}});
  world_.store().Put(
      "op/config",
      {{"version", 1}, {"routes", routes}, {"services", services}});
}

void ColdRestart::OnRequest(Backend& backend,
                            const std::shared_ptr<Connection>& connection,
                            const HttpMessage& request) {
  if (request.target() == "/health") {
    const Millis cold = std::max(backend.cold_until - world_.now(), Millis(0));
    connection->Write(MakeAnswer(
        200,
        "Instance-Id: " + backend.id +
            "\r\nCold-Remaining: " + std::to_string(cold.count()) + "\r\n",
        ""));
    return;
  }
  const std::string id = request.header("request-id");
  if (request.header("expect-instance") != backend.id) {
    connection->Write(MakeAnswer(421, "Not-Executed: 1\r\n", ""));
    return;
  }
  const Millis now = world_.now();
  if (now < backend.cold_until) {
    world_.Note(id + " runs at " + backend.id + ", cold for " +
                std::to_string((backend.cold_until - now).count()) + " ms");
    // Counted are requests that were sent and arrived inside one second.
    if (now - sent_at_[id] < kSecond) {
      backend.sent.push_back(now);
      while (now - backend.sent.front() >= kSecond) backend.sent.pop_front();
      if (backend.sent.size() > backend.most_in_a_second) {
        backend.most_in_a_second = backend.sent.size();
        backend.most_at = now;
      }
    }
  }
  std::string record = backend.service + "." + id;
  constexpr std::size_t kRecordBytes = 16;
  record.resize(kRecordBytes, '.');
  world_.After(kWorkTime, [&backend, connection, id, record] {
    connection->Write(MakeAnswer(200,
                                 "Request-Id: " + id + "\r\nServer-Seal: " +
                                     backend.id + "." + id + "\r\n",
                                 record));
  });
}

void ColdRestart::Restart(Backend& backend) {
  backend.server->Start();
  backend.is_down = false;
  ++backend.born;
  backend.cold_until = world_.now() + kColdTime;
  world_.Note(backend.id + " is up again, cold");
  Register(backend);
  for (Millis beat = kHeartbeat; beat < kColdTime + kHeartbeat;
       beat += kHeartbeat) {
    world_.After(beat, [this, &backend] { Register(backend); });
  }
}

void ColdRestart::SendRequests() {
  if (!is_sending_) return;
  const int number = ++last_id_;
  const std::string id = "q" + std::to_string(number);
  sent_at_[id] = world_.now();
  requesters_.Send(
      {.address = world_.front_address(number % world_.daemons()),
       .target = "/browse/all",
       .id = id,
       .deadline = kDeadline,
       .on_end = [this, id](const HttpMessage* answer) {
         const int status = answer == nullptr ? 0 : answer->status();
         if (status == 200) {
           ++served_;
         } else {
           world_.Note("answer to " + id + ": " + std::to_string(status));
         }
       }});
  world_.After(kRequestInterval, [this] { SendRequests(); });
}

int ColdRestart::Judge() {
  const double bound = kColdPerSecond * kColdOver + kColdSlack;
  bool is_broken = false;
  for (const auto& backend : backends_) {
    if (backend->most_in_a_second == 0) continue;
    const bool exceeds = static_cast<double>(backend->most_in_a_second) > bound;
    is_broken = is_broken || exceeds;
    world_.Note((exceeds ? "FAILBACK: " : "") + backend->id + " got up to " +
                std::to_string(backend->most_in_a_second) +
                " requests in one second while cold, until " +
                std::to_string(backend->most_at.count()) + " ms; bound " +
                std::to_string(bound));
  }
  world_.Note(std::to_string(last_id_) + " queries, " +
              std::to_string(served_) + " served");
  if (!world_.AllRun() || served_ * 2 < last_id_) return kCouldNotRun;
  return is_broken ? kBroken : kHeld;
}

void ColdRestart::TurnAwayMachines() {
  for (int machine = 0; machine < kMachinesTurnedAway; ++machine) {
    world_.Note("the store turns front-" + std::to_string(machine + 1) +
                " away");
    world_.store().TurnAway(machine, true);
    world_.After(kTurnedAwayTime, [this, machine] {
      world_.Note("the store serves front-" + std::to_string(machine + 1));
      world_.store().TurnAway(machine, false);
    });
  }
  world_.RunFor(kTurnedAwayBefore);
}

void ColdRestart::CrashAndRestart() {
  for (const auto& backend : backends_) {
    if (backend->zone != World::ZoneOf(0)) continue;
    world_.Note(backend->id + " goes down");
    backend->is_down = true;
    backend->server->Crash();
    if (turns_away_) break;
  }
  world_.RunFor(kDownTime);
  for (const auto& backend : backends_) {
    if (!backend->is_down) continue;
    Restart(*backend);
    world_.RunFor(kRegistrationInterval);
  }
}

int ColdRestart::Run() {
  StartBackends();
  world_.StartDaemons();
  if (!world_.WaitUntilReady()) return kCouldNotRun;
  SendRequests();
  world_.RunFor(kCalmTime);
  if (has_trouble_) {
    if (turns_away_) TurnAwayMachines();
    CrashAndRestart();
  }
  world_.RunFor(kTimeAfter);
  is_sending_ = false;
  world_.RunFor(kDeadline + Millis(200));
  return Judge();
}

}  // namespace
}  // namespace lacewingknot::review

int main(int argc, char** argv) {
  constexpr int kArgument = 4;
  const bool turns_away =
      argc > kArgument && std::string_view(argv[kArgument]) == "turned-away";
  return lacewingknot::review::RunCase(
      argc, argv,
      [turns_away](const lacewingknot::review::World::Options& options,
                   bool has_trouble) {
        return lacewingknot::review::ColdRestart(options, has_trouble,
                                                 turns_away)
            .Run();
      });
}
