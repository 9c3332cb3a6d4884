// lacewingknot_load: an open-loop load generator for the daemons, with a plain
// scatter as the baseline.
//
// Requests start at their scheduled times whether or not earlier requests have
// finished, and latency counts from the scheduled start. Prints one line of
// JSON.
//
//   lacewingknot_load --daemons 127.0.0.1:20010 --service availability
//       --rate 100 --seconds 10
//
// With `--scatter settings.toml` the generator bypasses the daemons: it sends
// each sub-request to a random replica of its shard, waits for all answers, and
// neither retries nor hedges.

#include <sys/resource.h>
#include <tclap/CmdLine.h>

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "lacewingknot/net/http_connection.h"
#include "lacewingknot/settings/tree.h"
#include "lacewingknot/traffic/upstream_protocol.h"

namespace lacewingknot::testing {
namespace {

using nlohmann::json;

// A pool of HTTP connections to one address. Opens a connection whenever no
// idle one can be reused.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& io, const std::string& address)
      : io_(io), endpoint_(ParseEndpoint(address).value()) {}

  void Exchange(const HttpCall& call,
                const HttpConnection::ReplyCallback& done) {
    while (!idle_.empty()) {
      const auto connection = idle_.back();
      idle_.pop_back();
      if (!connection->IsReusable()) continue;
      Send(connection, call, done);
      return;
    }
    const auto connection = HttpConnection::Create(io_, endpoint_, {});
    connection->Connect([this, connection, call, done](Result<void> connected) {
      if (connected) {
        Send(connection, call, done);
      } else {
        done(connected.error());
      }
    });
  }

 private:
  void Send(const std::shared_ptr<HttpConnection>& connection,
            const HttpCall& call, const HttpConnection::ReplyCallback& done) {
    connection->Exchange(call,
                         [this, connection, done](Result<HttpReply> reply) {
                           if (reply && connection->is_open()) {
                             idle_.push_back(connection);
                           }
                           done(std::move(reply));
                         });
  }

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::vector<std::shared_ptr<HttpConnection>> idle_;
};

struct LoadStats {
  std::vector<double> latencies_ms;
  std::vector<double> per_second_latency;
  std::size_t complete = 0;
  std::size_t partial = 0;
  std::size_t failed = 0;
  std::uint64_t asked = 0;
  std::uint64_t answered = 0;
  std::uint64_t sent = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  // Answers whose reported coverage contradicts their parts.
  std::uint64_t false_coverage = 0;
  // Items of another version or shard than their answer reports.
  std::uint64_t mixed_versions = 0;
  std::map<std::string, int> failures;
  std::map<std::string, int> missing;
};

struct Options {
  std::vector<std::string> daemons;
  std::string service;
  double rate = 0;
  double seconds = 0;
  int deadline_ms = 500;
  std::uint64_t seed = 1;
  SettingsPtr scatter;
  std::string timeline;
  bool writes = false;
};

class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& io, Options options);
  void Start();
  json Report() const;

 private:
  void ScheduleNext();
  void StartRequest(TimePoint scheduled_at);
  void StartQuery(TimePoint scheduled_at);
  void StartWrite(TimePoint scheduled_at);
  void StartScatter(TimePoint scheduled_at);
  void OnAnswer(TimePoint scheduled_at, const Result<HttpReply>& reply);
  // Records the latency of a finished request; stops the loop after the last.
  // `coverage` goes to the timeline: the share of shards that answered, -1 for
  // a failed query.
  void RecordRequest(TimePoint scheduled_at, double coverage);
  // Counts contradictions between the coverage, the versions and the parts of
  // an answer.
  void CheckConsistency(const json& answer);

  boost::asio::io_context& io_;
  Options options_;
  boost::asio::steady_timer timer_;
  TimePoint started_at_;
  std::size_t started_count_ = 0;
  std::size_t request_count_ = 0;
  std::vector<std::unique_ptr<ConnectionPool>> daemon_pools_;
  std::map<std::string, std::unique_ptr<ConnectionPool>> upstream_pools_;
  std::map<std::string, std::vector<std::string>> replicas_by_shard_;
  std::mt19937_64 random_;
  LoadStats stats_;
  std::ofstream timeline_;
};

LoadGenerator::LoadGenerator(boost::asio::io_context& io, Options options)
    : io_(io),
      options_(std::move(options)),
      timer_(io),
      started_at_(BootClock::now()),
      request_count_(
          static_cast<std::size_t>(options_.rate * options_.seconds)),
      random_(options_.seed) {
  for (const std::string& address : options_.daemons) {
    daemon_pools_.push_back(std::make_unique<ConnectionPool>(io_, address));
  }
  if (options_.scatter != nullptr) {
    for (const std::string& shard :
         options_.scatter->Shards(options_.service)) {
      replicas_by_shard_[shard];
    }
    for (const auto& [name, node] : options_.scatter->upstreams) {
      if (!replicas_by_shard_.contains(node.service)) continue;
      replicas_by_shard_[node.service].push_back(name);
      upstream_pools_[name] =
          std::make_unique<ConnectionPool>(io_, node.address);
    }
  }
  if (!options_.timeline.empty()) timeline_.open(options_.timeline);
}

void LoadGenerator::Start() { ScheduleNext(); }

void LoadGenerator::ScheduleNext() {
  if (started_count_ == request_count_) return;
  const auto offset =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(started_count_) / options_.rate));
  const TimePoint scheduled_at = started_at_ + offset;
  const Duration wait = scheduled_at - BootClock::now();
  const auto start = [this, scheduled_at] {
    ++started_count_;
    StartRequest(scheduled_at);
    ScheduleNext();
  };
  timer_.expires_after(std::max(wait, Duration::zero()));
  timer_.async_wait([start](boost::system::error_code) { start(); });
}

void LoadGenerator::StartRequest(TimePoint scheduled_at) {
  if (options_.scatter != nullptr) {
    StartScatter(scheduled_at);
  } else if (options_.writes) {
    StartWrite(scheduled_at);
  } else {
    StartQuery(scheduled_at);
  }
}

void LoadGenerator::StartQuery(TimePoint scheduled_at) {
  const json body = {{"service", options_.service},
                     {"query", "birch"},
                     {"deadline_ms", options_.deadline_ms}};
  const HttpCall call{.method = "POST",
                      .target = "/v1/query",
                      .headers = {},
                      .body = body.dump()};
  daemon_pools_[random_() % daemon_pools_.size()]->Exchange(
      call, [this, scheduled_at](const Result<HttpReply>& reply) {
        OnAnswer(scheduled_at, reply);
      });
}

void LoadGenerator::StartWrite(TimePoint scheduled_at) {
  const std::string id = "w" + std::to_string(options_.seed) + "-" +
                         std::to_string(started_count_);
  const json body = {{"service", options_.service},
                     {"id", id},
                     {"body", "reserve"},
                     {"deadline_ms", options_.deadline_ms}};
  const HttpCall call{.method = "POST",
                      .target = "/v1/write",
                      .headers = {},
                      .body = body.dump()};
  daemon_pools_[random_() % daemon_pools_.size()]->Exchange(
      call, [this, scheduled_at, id](const Result<HttpReply>& reply) {
        std::string outcome = "no_reply";
        if (reply) {
          const json answer = json::parse(reply.value().body, nullptr, false);
          outcome = answer.value("outcome", "refused");
        }
        ++stats_.failures[outcome];
        if (timeline_) timeline_ << id << " " << outcome << "\n";
        RecordRequest(scheduled_at, 0);
      });
}

void LoadGenerator::OnAnswer(TimePoint scheduled_at,
                             const Result<HttpReply>& reply) {
  constexpr int kHttpOk = 200;
  if (!reply || reply.value().status != kHttpOk) {
    ++stats_.failed;
    std::string type = "no_reply";
    if (reply) {
      const json answer = json::parse(reply.value().body, nullptr, false);
      type = answer.at("error").value("type", "");
    }
    ++stats_.failures[type];
    RecordRequest(scheduled_at, -1);
    return;
  }
  const json answer = json::parse(reply.value().body);
  const json& coverage = answer.at("coverage");
  const auto asked = coverage.at("asked").get<std::uint64_t>();
  const auto answered = coverage.at("answered").get<std::uint64_t>();
  stats_.asked += asked;
  stats_.answered += answered;
  stats_.sent += answer["attempts"].value("sent", 0);
  stats_.retries += answer["attempts"].value("retries", 0);
  stats_.hedges += answer["attempts"].value("hedges", 0);
  for (const json& shard : coverage.at("missing")) {
    ++stats_.missing[shard.value("reason", "")];
  }
  ++(answered == asked ? stats_.complete : stats_.partial);
  CheckConsistency(answer);
  RecordRequest(scheduled_at,
                static_cast<double>(answered) / static_cast<double>(asked));
}

void LoadGenerator::CheckConsistency(const json& answer) {
  const json& coverage = answer.at("coverage");
  const bool is_coverage_consistent =
      answer.at("shards").size() == coverage.at("answered") &&
      coverage.at("answered").get<std::size_t>() +
              coverage.at("missing").size() ==
          coverage.at("asked").get<std::size_t>();
  if (!is_coverage_consistent) ++stats_.false_coverage;
  for (const auto& [shard, items] : answer.at("shards").items()) {
    for (const json& item : items) {
      const bool is_consistent = item.at("version") == answer.at("version") &&
                                 item.at("shard") == shard;
      if (!is_consistent) ++stats_.mixed_versions;
    }
  }
}

void LoadGenerator::StartScatter(TimePoint scheduled_at) {
  auto remaining = std::make_shared<std::size_t>(replicas_by_shard_.size());
  auto answered = std::make_shared<std::size_t>(0);
  for (const auto& [shard, replicas] : replicas_by_shard_) {
    const std::string& upstream = replicas[random_() % replicas.size()];
    const SubRequest request{
        .attempt = std::to_string(random_()),
        .shard = shard,
        .version = kAnyVersion,
        .time_left = std::chrono::milliseconds(options_.deadline_ms),
        .query = "birch"};
    upstream_pools_[upstream]->Exchange(
        MakeQueryCall(request), [this, scheduled_at, request, remaining,
                                 answered](Result<HttpReply> reply) {
          std::vector<IndexVersion> versions;
          if (reply && ParseQueryReply(request, reply.value(), versions)) {
            ++*answered;
          }
          if (--*remaining > 0) return;
          stats_.asked += replicas_by_shard_.size();
          stats_.answered += *answered;
          stats_.sent += replicas_by_shard_.size();
          ++(*answered == replicas_by_shard_.size() ? stats_.complete
                                                    : stats_.partial);
          RecordRequest(scheduled_at, 1);
        });
  }
}

void LoadGenerator::RecordRequest(TimePoint scheduled_at, double coverage) {
  const TimePoint now = BootClock::now();
  const double latency_ms =
      std::chrono::duration<double, std::milli>(now - scheduled_at).count();
  stats_.latencies_ms.push_back(latency_ms);
  if (stats_.latencies_ms.size() == request_count_) io_.stop();
  if (!timeline_ || options_.writes) return;
  const double start_s =
      std::chrono::duration<double>(scheduled_at - started_at_).count();
  timeline_ << start_s << " " << latency_ms << " " << coverage << "\n";
}

json LoadGenerator::Report() const {
  std::vector<double> sorted = stats_.latencies_ms;
  std::sort(sorted.begin(), sorted.end());
  const auto quantile = [&](double q) {
    if (sorted.empty()) return 0.0;
    const auto last = sorted.size() - 1;
    return sorted[static_cast<std::size_t>(q * static_cast<double>(last))];
  };
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  const double elapsed =
      std::chrono::duration<double>(BootClock::now() - started_at_).count();
  return {{"seed", options_.seed},
          {"requests", sorted.size()},
          {"elapsed_s", elapsed},
          {"p50_ms", quantile(0.5)},
          {"p99_ms", quantile(0.99)},
          {"p999_ms", quantile(0.999)},
          {"max_ms", quantile(1)},
          {"whole", stats_.complete},
          {"partial", stats_.partial},
          {"failed", stats_.failed},
          {"asked", stats_.asked},
          {"answered", stats_.answered},
          {"sent", stats_.sent},
          {"retries", stats_.retries},
          {"hedges", stats_.hedges},
          {"false_coverage", stats_.false_coverage},
          {"mixed_versions", stats_.mixed_versions},
          {"failures", stats_.failures},
          {"missing", stats_.missing},
          {"cpu_s", seconds(usage.ru_utime) + seconds(usage.ru_stime)}};
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Open-loop load generator", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> daemons("", "daemons", "IP:PORT,...", false, "",
                                       "LIST", command);
  TCLAP::ValueArg<std::string> service("", "service", "Service", true, "",
                                       "NAME", command);
  TCLAP::ValueArg<double> rate("", "rate", "Requests a second", false, 50, "N",
                               command);
  TCLAP::ValueArg<double> seconds("", "seconds", "Duration", false, 5, "S",
                                  command);
  TCLAP::ValueArg<int> deadline("", "deadline-ms", "Deadline", false, 500, "MS",
                                command);
  TCLAP::ValueArg<unsigned> seed("", "seed", "Random seed", false, 1, "N",
                                 command);
  TCLAP::ValueArg<std::string> scatter(
      "", "scatter", "Scatter to the upstreams of this settings document",
      false, "", "FILE", command);
  TCLAP::ValueArg<std::string> timeline("", "timeline",
                                        "File for one line per request", false,
                                        "", "FILE", command);
  TCLAP::SwitchArg writes("", "writes", "Send writes instead of queries",
                          command);
  command.parse(argc, argv);
  Options options{.daemons = Split(daemons.getValue()),
                  .service = service.getValue(),
                  .rate = rate.getValue(),
                  .seconds = seconds.getValue(),
                  .deadline_ms = deadline.getValue(),
                  .seed = seed.getValue(),
                  .timeline = timeline.getValue(),
                  .writes = writes.getValue()};
  if (!scatter.getValue().empty()) {
    std::ifstream file(scatter.getValue());
    std::stringstream text;
    text << file.rdbuf();
    options.scatter = ParseSettings(text.str()).tree;
  }
  boost::asio::io_context io(1);
  LoadGenerator generator(io, std::move(options));
  generator.Start();
  io.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds.getValue() + 10)));
  std::cout << generator.Report().dump() << std::endl;
  return 0;
}

}  // namespace
}  // namespace lacewingknot::testing

int main(int argc, char** argv) {
  return lacewingknot::testing::Run(argc, argv);
}
