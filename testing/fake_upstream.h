// A fake upstream, for tests and for runs of whole processes.
//
// The upstream serves one shard, processes `slots` requests at a time and
// queues the others. It starts cold: it can handle `cold_concurrency` requests
// at once, a capacity that doubles after every `answers_per_doubling` answers
// until it reaches `max_connections`. A cold upstream that receives more
// requests than it can handle crashes and restarts cold. Faults can be switched
// on and off while it runs. Tests compare its counts of received requests with
// the requests that the code under test reports as sent.
//
//   FakeUpstream upstream(io, {.name = "up-1", .shard = "shop"});
//   upstream.faults().draining = true;
//
// Not thread-safe: runs on one io_context thread.

#ifndef TESTING_FAKE_UPSTREAM_H_
#define TESTING_FAKE_UPSTREAM_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "testing/fake_http.h"

namespace lacewingknot::testing {

struct UpstreamFaults {
  bool down = false;
  bool draining = false;
  bool shed = false;
  bool mismatched_attempt = false;  // Echoes the id of another attempt.
  bool truncated = false;           // Closes in the middle of a query's body.
  bool short_items = false;         // Sends fewer items than the count header.
  bool wrong_version = false;       // Answers from a version not requested.
  bool wrong_shard = false;         // Refuses; the shard has moved elsewhere.
  bool drop_after_run = false;      // Executes, then closes without an answer.
  bool drop_before_run = false;     // Closes without executing.
  double straggle_fraction = 0;  // Share of requests that take straggle_time.
  Duration straggle_time{};
};

struct UpstreamCounts {
  std::uint64_t queries = 0;
  std::uint64_t writes = 0;
  // Executions of write ids that had been executed before.
  std::uint64_t writes_repeated = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t peak_concurrency = 0;
  // Requests beyond the capacity of a cold upstream.
  std::uint64_t cold_excess = 0;
  std::uint64_t crashes = 0;
  std::uint64_t received_while_draining = 0;
  std::uint64_t restarts = 0;
};

class FakeUpstream {
 public:
  struct Options {
    std::string name;
    std::string shard;
    std::uint16_t port = 0;
    std::size_t slots = 2;
    std::size_t max_connections = 25;
    std::size_t max_queue = 64;
    Duration connect_delay = std::chrono::milliseconds(6);
    Duration service_time = std::chrono::milliseconds(5);
    std::vector<std::uint64_t> versions = {41, 42};
    bool starts_cold = true;
    std::size_t cold_concurrency = 1;
    // Number of answers after which the capacity of a cold upstream doubles.
    std::size_t answers_per_doubling = 16;
    // Time for which the upstream is down after a crash.
    Duration crash_downtime = std::chrono::seconds(1);
    std::uint64_t seed = 1;
  };

  FakeUpstream(boost::asio::io_context& io, Options options);

  std::uint16_t port() const { return server_.port(); }
  const std::string& name() const { return options_.name; }
  UpstreamFaults& faults() { return faults_; }
  const UpstreamCounts& counts() const { return counts_; }
  const FakeHttpServer& server() const { return server_; }
  // Number of executions of each write id.
  const std::map<std::string, int>& write_runs() const { return write_runs_; }
  void set_versions(std::vector<std::uint64_t> versions);
  void set_service_time(Duration time) { options_.service_time = time; }

  // Starts a new instance, cold unless `cold` is false, and closes all
  // connections.
  void Restart(bool cold = true);
  // Keeps open connections open without responding on them; new connections
  // work.
  void SilenceConnections() { server_.SilenceAll(); }
  void SetDown(bool down);
  // True if the upstream can handle `max_connections` requests at once.
  bool warm() const;

 private:
  struct PendingRequest {
    FakeRequest request;
    std::shared_ptr<FakeConnection> connection;
    bool is_cancelled = false;
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  void OnRequest(FakeRequest request,
                 std::shared_ptr<FakeConnection> connection);
  void StartNext();
  void Finish(const PendingRequestPtr& pending);
  void Crash();
  // Replies to a request that must not be executed; false if there is no reason
  // to refuse the request.
  bool ReplyIfRefused(const PendingRequestPtr& pending);
  FakeReply MakeRefusal(const FakeRequest& request, int status,
                        const std::string& state) const;
  FakeReply MakeQueryReply(const FakeRequest& request) const;
  FakeReply MakeWriteReply(const FakeRequest& request);
  // Number of requests that the upstream can handle at once.
  std::size_t Capacity() const;
  std::string JoinVersions() const;
  Duration DrawServiceTime();

  boost::asio::io_context& io_;
  Options options_;
  UpstreamFaults faults_;
  UpstreamCounts counts_;
  std::map<std::string, int> write_runs_;
  std::string instance_;
  std::uint64_t generation_ = 0;
  std::size_t answer_count_ = 0;
  std::size_t active_requests_ = 0;
  std::deque<PendingRequestPtr> queue_;
  std::mt19937_64 random_;
  FakeHttpServer server_;
};

}  // namespace lacewingknot::testing

#endif  // TESTING_FAKE_UPSTREAM_H_
