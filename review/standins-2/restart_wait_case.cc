// One daemon and a service with two servers. Server b1 crashes and starts again
// under its id. It is busy at first: it answers the daemon with 503 and a
// Retry-After of 10 s. Its entry in the store shows the new start at its next
// heartbeat, up to 1.2 s later. Counts the requests that b1 gets from the
// daemon in the time for which it wanted none.
//
// Usage: restart_wait_case DIRECTORY RECORD. With TROUBLE=0 server b1 is busy
// in the same way, but does not crash. Exit status: 0 the rule held, 1 it was
// broken, 2 the case could not run.

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
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
constexpr double kRetryAfterSeconds = 10;
// "between half a second after it has answered that machine 503 with
// Retry-After and the end of that time": more than two.
constexpr double kToleratedSeconds = 0.5;
constexpr std::size_t kToleratedRequests = 2;
// Starts of the servers, and the later one of b1, in Unix milliseconds.
constexpr std::int64_t kBorn = 1'764'892'800'000;
constexpr std::int64_t kBornAgain = 1'764'896'400'000;

struct Arrival {
  double at = 0;
  std::string server;
  int daemon = 0;
  std::string id;
  int status = 0;
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
  std::string Record(int server, std::int64_t born) const;
  HttpResponse Serve503Or200(const std::string& server,
                             const HttpRequest& request);
  void RunClient(int daemon, milliseconds start);
  void Note(const std::string& what);
  int Judge();

  const std::string directory_;
  const std::string record_path_;
  const bool has_trouble_;
  const std::vector<DaemonPlace> daemons_{{"127.0.0.1", "zone-a"}};
  DaemonPorts ports_;
  int server_port_ = 0;
  StoreStandIn store_;
  Clock::time_point began_ = Clock::now();
  std::atomic<bool> is_busy_ = false;
  std::atomic<bool> is_ended_ = false;
  std::atomic<int> last_id_ = 0;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::vector<std::string> notes_;
};

std::string Case::Record(int server, std::int64_t born) const {
  return R"({"service":"lots","address":"127.0.1.)" + std::to_string(server) +
         ":" + std::to_string(server_port_) +
         R"(","zone":"zone-a","version":"1","slots":4,"state":"ready",)"
         R"("cold_remaining_ms":0,"sequence":1,"born":)" +
         std::to_string(born) + "}";
}

HttpResponse Case::Serve503Or200(const std::string& server,
                                 const HttpRequest& request) {
  const std::string id = request.header("request-id");
  const bool is_refused = server == "b1" && is_busy_;
  const int status = is_refused ? 503 : 200;
  {
    const std::lock_guard lock(mutex_);
    arrivals_.push_back({.at = Now(),
                         .server = server,
                         .daemon = std::atoi(id.substr(0, 1).c_str()),
                         .id = id,
                         .status = status});
  }
  if (is_refused) {
    return {.status = status,
            .headers = "Request-Id: " + id +
                       "\r\nNot-Executed: 1\r\nRetry-After: 10\r\n",
            .body = "busy"};
  }
  std::this_thread::sleep_for(milliseconds(40));
  return {.status = status,
          .headers = "Request-Id: " + id + "\r\nServer-Seal: " + server + "." +
                     id + "\r\n",
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
    std::this_thread::sleep_for(milliseconds(100));
  }
}

void Case::Note(const std::string& what) {
  char at[32];
  std::snprintf(at, sizeof(at), "%7.3f s  ", Now());
  const std::lock_guard lock(mutex_);
  notes_.push_back(at + what);
}

int Case::Run() {
  const int store_port = FreePort("127.0.0.1");
  server_port_ = FreePort("127.0.1.1");
  ports_ = FreePorts();
  CrashableServer b1("127.0.1.1", server_port_,
                     [this](const HttpRequest& request) {
                       return Serve503Or200("b1", request);
                     });
  const bool is_served = Serve("127.0.0.1", store_port,
                               [this](const HttpRequest& request) {
                                 return store_.Handle(request);
                               }) &&
                         Serve("127.0.1.2", server_port_,
                               [this](const HttpRequest& request) {
                                 return Serve503Or200("b2", request);
                               }) &&
                         b1.Start();
  if (!is_served) return kNotRun;
  store_.Put("op/config",
             R"({"version":1,"routes":[{"name":"lots","host":"lots.example",)"
             R"("prefix":"/lots/","kind":"safe","service":"lots",)"
             R"("timeout_ms":2000,"target_latency_ms":500,"attempts":2,)"
             R"("priority":1}],"services":[{"name":"lots",)"
             R"("max_connections":96}],"limits":{"header_bytes":16384,)"
             R"("body_bytes":262144,"header_timeout_ms":3000,)"
             R"("idle_timeout_ms":15000}})");
  store_.Put("servers/b1", Record(1, kBorn));
  store_.Put("servers/b2", Record(2, kBorn));
  WriteSettings(directory_, daemons_, ports_,
                "127.0.0.1:" + std::to_string(store_port));
  if (!AwaitReady(daemons_, ports_, std::chrono::seconds(20))) return kNotRun;
  std::this_thread::sleep_for(milliseconds(5'000));
  began_ = Clock::now();
  std::vector<std::thread> clients;
  for (const int offset : {0, 25, 50, 75}) {
    clients.emplace_back(
        [this, offset] { RunClient(1, milliseconds(offset)); });
  }
  std::this_thread::sleep_for(milliseconds(2'000));
  if (has_trouble_) {
    b1.Crash();
    Note("b1 crashes");
    std::this_thread::sleep_for(milliseconds(250));
    is_busy_ = true;
    if (!b1.Start()) return kNotRun;
    Note("b1 starts again, busy");
  } else {
    is_busy_ = true;
    Note("b1 is busy");
  }
  std::this_thread::sleep_for(milliseconds(1'200));
  if (has_trouble_) {
    store_.Put("servers/b1", Record(1, kBornAgain));
    Note("the next heartbeat of b1 shows its new start");
  }
  is_busy_ = false;
  Note("b1 serves again");
  std::this_thread::sleep_for(milliseconds(10'000));
  is_ended_ = true;
  for (std::thread& client : clients) client.join();
  return Judge();
}

int Case::Judge() {
  const std::lock_guard lock(mutex_);
  std::ofstream record(record_path_);
  record << "trouble: " << (has_trouble_ ? "yes" : "no") << "\n";
  for (const std::string& note : notes_) record << note << "\n";
  std::map<int, double> refused_at;
  std::map<int, std::size_t> unwanted;
  for (const Arrival& arrival : arrivals_) {
    if (arrival.server != "b1") continue;
    if (arrival.status == 503) refused_at.emplace(arrival.daemon, arrival.at);
    const auto refused = refused_at.find(arrival.daemon);
    const bool is_unwanted = refused != refused_at.end() &&
                             arrival.at > refused->second + kToleratedSeconds &&
                             arrival.at < refused->second + kRetryAfterSeconds;
    if (is_unwanted) ++unwanted[arrival.daemon];
    char line[120];
    std::snprintf(line, sizeof(line), "%7.3f s  request %s reaches b1: %d%s\n",
                  arrival.at, arrival.id.c_str(), arrival.status,
                  is_unwanted ? ", unwanted" : "");
    record << line;
  }
  std::size_t served = 0;
  for (const Arrival& arrival : arrivals_) {
    if (arrival.status == 200) ++served;
  }
  record << "requests sent: " << last_id_ << ", served by servers: " << served
         << "\n";
  int result = refused_at.empty() ? kNotRun : kHeld;
  for (const auto& [daemon, count] : unwanted) {
    record << "daemon d" << daemon << " sent b1 " << count
           << " requests in the time for which it wanted none\n";
    if (count > kToleratedRequests) result = kBroken;
  }
  record << (result == kBroken ? "BROKEN"
             : result == kHeld ? "held"
                               : "not run")
         << "\n";
  return result;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: restart_wait_case DIRECTORY RECORD\n";
    return review::kNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  review::Case run(argv[1], argv[2], has_trouble);
  const int result = run.Run();
  // Detached threads still serve.
  std::_Exit(result);
}
