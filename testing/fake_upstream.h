// A stand-in for one upstream.
//
// It holds one shard, serves `slots` requests at a time and queues the rest,
// starts cold, and falls over when it is given more than it bears while cold.
// Faults are switched while it runs. It counts what it received, which tests
// take as the truth about what was sent.
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
  bool crossed = false;          // Echoes another attempt.
  bool truncated = false;        // Closes in the middle of the body.
  bool short_items = false;      // Fewer items than it says.
  bool wrong_version = false;    // Answers from a version not asked for.
  bool wrong_shard = false;      // The shard has moved away.
  bool drop_after_run = false;   // Runs, then closes without an answer.
  bool drop_before_run = false;  // Closes without running.
  double straggle_fraction = 0;  // Of requests that take `straggle_time`.
  Duration straggle_time{};
};

struct UpstreamCounts {
  std::uint64_t queries = 0;
  std::uint64_t writes = 0;
  std::uint64_t writes_repeated = 0;  // Runs of an id that had run before.
  std::uint64_t cancelled = 0;
  std::uint64_t most_concurrent = 0;
  std::uint64_t cold_excess = 0;  // Requests above what it bears while cold.
  std::uint64_t falls = 0;
  std::uint64_t while_draining = 0;
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
    Duration connect_cost = std::chrono::milliseconds(6);
    Duration service_time = std::chrono::milliseconds(5);
    std::vector<std::uint64_t> versions = {41, 42};
    bool starts_cold = true;
    std::size_t cold_concurrency = 1;
    // Answers that double what it bears.
    std::size_t warm_step = 16;
    Duration fall_time = std::chrono::seconds(1);
    std::uint64_t seed = 1;
  };

  FakeUpstream(boost::asio::io_context& io, Options options);

  std::uint16_t port() const { return server_.port(); }
  const std::string& name() const { return options_.name; }
  UpstreamFaults& faults() { return faults_; }
  const UpstreamCounts& counts() const { return counts_; }
  const FakeHttpServer& server() const { return server_; }
  const std::map<std::string, int>& write_runs() const { return write_runs_; }
  void set_versions(std::vector<std::uint64_t> versions);
  void set_service_time(Duration time) { options_.service_time = time; }

  // A new instance, cold, with all connections closed.
  void Restart(bool cold = true);
  // Open connections go silent; new ones work.
  void SilenceConnections() { server_.SilenceAll(); }
  void SetDown(bool down);
  bool warm() const;

 private:
  struct Work {
    FakeRequest request;
    std::shared_ptr<FakeConnection> connection;
    bool gone = false;
  };
  using WorkPtr = std::shared_ptr<Work>;

  void OnRequest(FakeRequest request,
                 std::shared_ptr<FakeConnection> connection);
  void StartNext();
  void Finish(const WorkPtr& work);
  void FallOver();
  bool RefuseAtDoor(const WorkPtr& work);
  FakeReply Refusal(const FakeRequest& request, int status,
                    const std::string& state) const;
  FakeReply QueryReply(const FakeRequest& request) const;
  FakeReply WriteReply(const FakeRequest& request);
  std::size_t Bears() const;
  std::string VersionList() const;
  Duration ServiceTime();

  boost::asio::io_context& io_;
  Options options_;
  UpstreamFaults faults_;
  UpstreamCounts counts_;
  std::map<std::string, int> write_runs_;
  std::string instance_;
  std::uint64_t generation_ = 0;
  std::size_t answers_ = 0;
  std::size_t active_ = 0;
  std::deque<WorkPtr> queue_;
  std::mt19937_64 random_;
  FakeHttpServer server_;
};

}  // namespace lacewingknot::testing

#endif  // TESTING_FAKE_UPSTREAM_H_
