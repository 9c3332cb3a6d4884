// lacewingknot_load: callers in an open loop, or a plain scatter to compare.
//
// Requests start at their intended times whatever came of earlier ones, and
// latency is counted from the intended start. Prints one line of JSON.
//
//   lacewingknot_load --daemons 127.0.0.1:20010 --service availability
//       --rate 100 --seconds 10
//
// With `--scatter settings.toml` it sends each sub-request itself to a random
// replica, waits for all, and neither retries nor hedges: the baseline.

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

// Idle connections to one address, opened as needed.
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

struct Tally {
  std::vector<double> latencies_ms;
  std::vector<double> per_second_latency;
  std::size_t whole = 0;
  std::size_t partial = 0;
  std::size_t failed = 0;
  std::uint64_t asked = 0;
  std::uint64_t answered = 0;
  std::uint64_t sent = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t false_coverage =
      0;  // Answers whose coverage is not what is in them.
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

class Load {
 public:
  Load(boost::asio::io_context& io, Options options);
  void Start();
  json Report() const;

 private:
  void ScheduleNext();
  void Begin(TimePoint intended_at);
  void BeginQuery(TimePoint intended_at);
  void BeginWrite(TimePoint intended_at);
  void BeginScatter(TimePoint intended_at);
  void OnAnswer(TimePoint intended_at, const Result<HttpReply>& reply);
  void Note(TimePoint intended_at, double coverage);
  void CheckTruth(const json& answer);

  boost::asio::io_context& io_;
  Options options_;
  boost::asio::steady_timer timer_;
  TimePoint started_at_;
  std::size_t begun_ = 0;
  std::size_t total_ = 0;
  std::vector<std::unique_ptr<ConnectionPool>> daemons_;
  std::map<std::string, std::unique_ptr<ConnectionPool>> upstreams_;
  std::map<std::string, std::vector<std::string>> shards_;
  std::mt19937_64 random_;
  Tally tally_;
  std::ofstream timeline_;
};

Load::Load(boost::asio::io_context& io, Options options)
    : io_(io),
      options_(std::move(options)),
      timer_(io),
      started_at_(BootClock::now()),
      total_(static_cast<std::size_t>(options_.rate * options_.seconds)),
      random_(options_.seed) {
  for (const std::string& address : options_.daemons) {
    daemons_.push_back(std::make_unique<ConnectionPool>(io_, address));
  }
  if (options_.scatter != nullptr) {
    for (const std::string& shard :
         options_.scatter->Shards(options_.service)) {
      shards_[shard];
    }
    for (const auto& [name, node] : options_.scatter->upstreams) {
      if (!shards_.contains(node.service)) continue;
      shards_[node.service].push_back(name);
      upstreams_[name] = std::make_unique<ConnectionPool>(io_, node.address);
    }
  }
  if (!options_.timeline.empty()) timeline_.open(options_.timeline);
}

void Load::Start() { ScheduleNext(); }

void Load::ScheduleNext() {
  if (begun_ == total_) return;
  const auto offset =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(begun_) / options_.rate));
  const TimePoint intended_at = started_at_ + offset;
  const Duration wait = intended_at - BootClock::now();
  const auto begin = [this, intended_at] {
    ++begun_;
    Begin(intended_at);
    ScheduleNext();
  };
  timer_.expires_after(std::max(wait, Duration::zero()));
  timer_.async_wait([begin](boost::system::error_code) { begin(); });
}

void Load::Begin(TimePoint intended_at) {
  if (options_.scatter != nullptr) {
    BeginScatter(intended_at);
  } else if (options_.writes) {
    BeginWrite(intended_at);
  } else {
    BeginQuery(intended_at);
  }
}

void Load::BeginQuery(TimePoint intended_at) {
  const json body = {{"service", options_.service},
                     {"query", "birch"},
                     {"deadline_ms", options_.deadline_ms}};
  const HttpCall call{.method = "POST",
                      .target = "/v1/query",
                      .headers = {},
                      .body = body.dump()};
  daemons_[random_() % daemons_.size()]->Exchange(
      call, [this, intended_at](const Result<HttpReply>& reply) {
        OnAnswer(intended_at, reply);
      });
}

void Load::BeginWrite(TimePoint intended_at) {
  const std::string id =
      "w" + std::to_string(options_.seed) + "-" + std::to_string(begun_);
  const json body = {{"service", options_.service},
                     {"id", id},
                     {"body", "reserve"},
                     {"deadline_ms", options_.deadline_ms}};
  const HttpCall call{.method = "POST",
                      .target = "/v1/write",
                      .headers = {},
                      .body = body.dump()};
  daemons_[random_() % daemons_.size()]->Exchange(
      call, [this, intended_at, id](const Result<HttpReply>& reply) {
        std::string outcome = "no_reply";
        if (reply) {
          const json answer = json::parse(reply.value().body, nullptr, false);
          outcome = answer.value("outcome", "refused");
        }
        ++tally_.failures[outcome];
        if (timeline_) timeline_ << id << " " << outcome << "\n";
        Note(intended_at, 0);
      });
}

void Load::OnAnswer(TimePoint intended_at, const Result<HttpReply>& reply) {
  constexpr int kHttpOk = 200;
  if (!reply || reply.value().status != kHttpOk) {
    ++tally_.failed;
    std::string type = "no_reply";
    if (reply) {
      const json answer = json::parse(reply.value().body, nullptr, false);
      type = answer.at("error").value("type", "");
    }
    ++tally_.failures[type];
    Note(intended_at, -1);
    return;
  }
  const json answer = json::parse(reply.value().body);
  const json& coverage = answer.at("coverage");
  const auto asked = coverage.at("asked").get<std::uint64_t>();
  const auto answered = coverage.at("answered").get<std::uint64_t>();
  tally_.asked += asked;
  tally_.answered += answered;
  tally_.sent += answer["attempts"].value("sent", 0);
  tally_.retries += answer["attempts"].value("retries", 0);
  tally_.hedges += answer["attempts"].value("hedges", 0);
  for (const json& shard : coverage.at("missing")) {
    ++tally_.missing[shard.value("reason", "")];
  }
  ++(answered == asked ? tally_.whole : tally_.partial);
  CheckTruth(answer);
  Note(intended_at, static_cast<double>(answered) / static_cast<double>(asked));
}

void Load::CheckTruth(const json& answer) {
  const json& coverage = answer.at("coverage");
  const bool true_coverage =
      answer.at("shards").size() == coverage.at("answered") &&
      coverage.at("answered").get<std::size_t>() +
              coverage.at("missing").size() ==
          coverage.at("asked").get<std::size_t>();
  if (!true_coverage) ++tally_.false_coverage;
  for (const auto& [shard, items] : answer.at("shards").items()) {
    for (const json& item : items) {
      const bool own = item.at("version") == answer.at("version") &&
                       item.at("shard") == shard;
      if (!own) ++tally_.mixed_versions;
    }
  }
}

void Load::BeginScatter(TimePoint intended_at) {
  auto left = std::make_shared<std::size_t>(shards_.size());
  auto answered = std::make_shared<std::size_t>(0);
  for (const auto& [shard, replicas] : shards_) {
    const std::string& upstream = replicas[random_() % replicas.size()];
    const SubRequest request{
        .attempt = std::to_string(random_()),
        .shard = shard,
        .version = kAnyVersion,
        .time_left = std::chrono::milliseconds(options_.deadline_ms),
        .query = "birch"};
    upstreams_[upstream]->Exchange(
        MakeQueryCall(request),
        [this, intended_at, request, left, answered](Result<HttpReply> reply) {
          std::vector<IndexVersion> versions;
          if (reply && ReadQueryReply(request, reply.value(), versions)) {
            ++*answered;
          }
          if (--*left > 0) return;
          tally_.asked += shards_.size();
          tally_.answered += *answered;
          tally_.sent += shards_.size();
          ++(*answered == shards_.size() ? tally_.whole : tally_.partial);
          Note(intended_at, 1);
        });
  }
}

void Load::Note(TimePoint intended_at, double coverage) {
  const TimePoint now = BootClock::now();
  const double millis =
      std::chrono::duration<double, std::milli>(now - intended_at).count();
  tally_.latencies_ms.push_back(millis);
  if (tally_.latencies_ms.size() == total_) io_.stop();
  if (!timeline_ || options_.writes) return;
  const double at =
      std::chrono::duration<double>(intended_at - started_at_).count();
  timeline_ << at << " " << millis << " " << coverage << "\n";
}

json Load::Report() const {
  std::vector<double> sorted = tally_.latencies_ms;
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
          {"whole", tally_.whole},
          {"partial", tally_.partial},
          {"failed", tally_.failed},
          {"asked", tally_.asked},
          {"answered", tally_.answered},
          {"sent", tally_.sent},
          {"retries", tally_.retries},
          {"hedges", tally_.hedges},
          {"false_coverage", tally_.false_coverage},
          {"mixed_versions", tally_.mixed_versions},
          {"failures", tally_.failures},
          {"missing", tally_.missing},
          {"cpu_s", seconds(usage.ru_utime) + seconds(usage.ru_stime)}};
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string one; std::getline(stream, one, ',');) parts.push_back(one);
  return parts;
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Callers in an open loop", ' ', "0.1.0");
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
  TCLAP::ValueArg<std::string> scatter("", "scatter", "Settings document",
                                       false, "", "FILE", command);
  TCLAP::ValueArg<std::string> timeline("", "timeline", "Samples to this file",
                                        false, "", "FILE", command);
  TCLAP::SwitchArg writes("", "writes", "Send writes", command);
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
  Load load(io, std::move(options));
  load.Start();
  io.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds.getValue() + 10)));
  std::cout << load.Report().dump() << std::endl;
  return 0;
}

}  // namespace
}  // namespace lacewingknot::testing

int main(int argc, char** argv) {
  return lacewingknot::testing::Run(argc, argv);
}
