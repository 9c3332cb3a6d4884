// Nine daemons in three zones and a service with two warm servers. A third one
// is added: it is cold for 3 s and takes two requests a second in that time.
// Counts the requests that it gets in one second while it is cold.
//
// Usage: cold_start_case DIRECTORY RECORD. With TROUBLE=0 no server is added.
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "review/standins-2/fleet_settings.h"
#include "review/standins-2/http_stand_in.h"
#include "review/standins-2/store_stand_in.h"

namespace review {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
// The bound of the rule: cold_per_s x cold_over + cold_slack.
constexpr double kColdPerSecond = 2;
constexpr double kColdOver = 1.5;
constexpr double kColdSlack = 5;
constexpr double kBound = kColdPerSecond * kColdOver + kColdSlack;
constexpr double kColdSeconds = 3;
// What the operator's configuration says of it.
constexpr const char* kColdFields =
    R"("cold_per_s":2,"cold_start_s":3,"health_path":"/health")";
constexpr int kClientsPerDaemon = 4;

struct Arrival {
  double at = 0;
  std::string id;
};

class Case {
 public:
  Case(std::string directory, std::string record, bool has_trouble)
      : directory_(std::move(directory)),
        record_path_(std::move(record)),
        has_trouble_(has_trouble) {}

  int Run();

 private:
  double Now() const {
    return std::chrono::duration<double>(Clock::now() - began_).count();
  }
  std::string Record(int server, int cold_ms) const;
  HttpResponse Serve200(int server, const HttpRequest& request);
  void RunClient(int daemon, milliseconds start);
  int Judge();

  const std::string directory_;
  const std::string record_path_;
  const bool has_trouble_;
  std::vector<DaemonPlace> daemons_;
  DaemonPorts ports_;
  int server_port_ = 0;
  StoreStandIn store_;
  Clock::time_point began_ = Clock::now();
  double added_at_ = 0;
  std::atomic<bool> is_ended_ = false;
  std::atomic<int> last_id_ = 0;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;  // At the third server.
};

std::string Case::Record(int server, int cold_ms) const {
  return R"({"service":"lots","address":"127.0.1.)" + std::to_string(server) +
         ":" + std::to_string(server_port_) + R"(","zone":"zone-)" +
         std::string(1, static_cast<char>('a' + server - 1)) +
         R"(","version":"1","slots":4,"state":"ready","cold_remaining_ms":)" +
         std::to_string(cold_ms) + R"(,"sequence":1,"born":1764892800000})";
}

HttpResponse Case::Serve200(int server, const HttpRequest& request) {
  const std::string id = request.header("request-id");
  if (request.path() == "/health") {
    const double left = added_at_ + kColdSeconds - Now();
    const int cold_ms =
        server == 3 && left > 0 ? static_cast<int>(left * 1000) : 0;
    return {.status = 200,
            .headers = "Instance-Id: b" + std::to_string(server) +
                       "\r\nCold-Remaining: " + std::to_string(cold_ms) +
                       "\r\n",
            .body = {}};
  }
  if (server == 3) {
    const std::lock_guard lock(mutex_);
    arrivals_.push_back({.at = Now(), .id = id});
  }
  std::this_thread::sleep_for(milliseconds(40));
  return {.status = 200,
          .headers = "Request-Id: " + id + "\r\nServer-Seal: b" +
                     std::to_string(server) + "." + id + "\r\n",
          .body = "done"};
}

void Case::RunClient(int daemon, milliseconds start) {
  std::this_thread::sleep_for(start);
  while (!is_ended_) {
    char id[17];
    std::snprintf(id, sizeof(id), "%d%015d", daemon, ++last_id_);
    Exchange(daemons_[static_cast<std::size_t>(daemon) - 1].address,
             ports_.front,
             "GET /lots/1 HTTP/1.1\r\nHost: lots.example\r\nRequest-Id: " +
                 std::string(id) + "\r\nDeadline-Remaining: 1500\r\n\r\n",
             milliseconds(2'000));
    std::this_thread::sleep_for(milliseconds(60));
  }
}

int Case::Run() {
  for (int i = 1; i <= 9; ++i) {
    daemons_.push_back(
        {.address = "127.0.0." + std::to_string(i),
         .data_centre =
             "zone-" + std::string(1, static_cast<char>('a' + (i - 1) / 3))});
  }
  const int store_port = FreePort("127.0.0.1");
  server_port_ = FreePort("127.0.1.1");
  ports_ = FreePorts();
  bool is_served = Serve(
      "127.0.0.1", store_port,
      [this](const HttpRequest& request) { return store_.Handle(request); });
  for (const int server : {1, 2, 3}) {
    is_served =
        is_served && Serve("127.0.1." + std::to_string(server), server_port_,
                           [this, server](const HttpRequest& request) {
                             return Serve200(server, request);
                           });
  }
  if (!is_served) return kNotRun;
  store_.Put(
      "op/config",
      std::string(R"({"version":1,"routes":[{"name":"lots",)"
                  R"("host":"lots.example","prefix":"/lots/","kind":"safe",)"
                  R"("service":"lots","timeout_ms":2000,)"
                  R"("target_latency_ms":500,"attempts":2,"priority":1}],)"
                  R"("services":[{"name":"lots","max_connections":96,)") +
          kColdFields +
          R"(}],"limits":{"header_bytes":16384,"body_bytes":262144,)"
          R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})");
  store_.Put("servers/b1", Record(1, 0));
  store_.Put("servers/b2", Record(2, 0));
  WriteSettings(directory_, daemons_, ports_,
                "127.0.0.1:" + std::to_string(store_port));
  if (!AwaitReady(daemons_, ports_, std::chrono::seconds(20))) return kNotRun;
  std::this_thread::sleep_for(milliseconds(8'000));
  began_ = Clock::now();
  std::vector<std::thread> clients;
  for (int daemon = 1; daemon <= 9; ++daemon) {
    for (int i = 0; i < kClientsPerDaemon; ++i) {
      clients.emplace_back([this, daemon, i] {
        RunClient(daemon, milliseconds(25 * i + 3 * daemon));
      });
    }
  }
  std::this_thread::sleep_for(milliseconds(4'000));
  added_at_ = Now();
  if (has_trouble_) {
    store_.Put("servers/b3", Record(3, static_cast<int>(kColdSeconds * 1000)));
  }
  std::this_thread::sleep_for(milliseconds(4'000));
  is_ended_ = true;
  for (std::thread& client : clients) client.join();
  return Judge();
}

int Case::Judge() {
  const std::lock_guard lock(mutex_);
  std::ofstream record(record_path_);
  record << "trouble: " << (has_trouble_ ? "yes" : "no") << "\n";
  char line[120];
  if (has_trouble_) {
    std::snprintf(line, sizeof(line), "%7.3f s  b3 is added, cold for %.0f s\n",
                  added_at_, kColdSeconds);
    record << line;
  }
  std::erase_if(arrivals_, [this](const Arrival& arrival) {
    return arrival.at > added_at_ + kColdSeconds;
  });
  std::size_t most = 0;
  for (std::size_t i = 0; i < arrivals_.size(); ++i) {
    std::size_t count = 0;
    for (std::size_t j = i; j < arrivals_.size(); ++j) {
      if (arrivals_[j].at < arrivals_[i].at + 1) ++count;
    }
    most = std::max(most, count);
    std::snprintf(line, sizeof(line), "%7.3f s  request %s reaches cold b3\n",
                  arrivals_[i].at, arrivals_[i].id.c_str());
    record << line;
  }
  const bool is_broken = static_cast<double>(most) > kBound;
  std::snprintf(line, sizeof(line),
                "requests sent: %d; most in one second at b3 while cold: %zu, "
                "bound %.1f\n",
                last_id_.load(), most, kBound);
  record << line << (is_broken ? "BROKEN" : "held") << "\n";
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: cold_start_case DIRECTORY RECORD\n";
    return review::kNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  review::Case run(argv[1], argv[2], has_trouble);
  const int result = run.Run();
  // Detached threads still serve.
  std::_Exit(result);
}
