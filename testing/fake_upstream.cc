#include "testing/fake_upstream.h"

#include <algorithm>

#include "lacewingknot/traffic/upstream_protocol.h"

namespace lacewingknot::testing {
namespace {

std::string Text(std::string_view text) { return std::string(text); }

}  // namespace

FakeUpstream::FakeUpstream(boost::asio::io_context& io, Options options)
    : io_(io),
      options_(std::move(options)),
      random_(options_.seed),
      server_(io, {.port = options_.port,
                   .connect_cost = options_.connect_cost,
                   .max_connections = options_.max_connections,
                   .handler = [this](FakeRequest request,
                                     std::shared_ptr<FakeConnection> from) {
                     OnRequest(std::move(request), std::move(from));
                   }}) {
  instance_ = options_.name + "#0." + std::to_string(random_() % 100'000);
}

void FakeUpstream::set_versions(std::vector<std::uint64_t> versions) {
  options_.versions = std::move(versions);
}

void FakeUpstream::Restart(bool cold) {
  ++counts_.restarts;
  ++generation_;
  instance_ = options_.name + "#" + std::to_string(generation_) + "." +
              std::to_string(random_() % 100'000);
  options_.starts_cold = cold;
  answers_ = 0;
  active_ = 0;
  queue_.clear();
  server_.CloseAll();
}

void FakeUpstream::SetDown(bool down) {
  faults_.down = down;
  server_.set_down(down);
  if (down) Restart();
}

std::size_t FakeUpstream::Bears() const {
  if (!options_.starts_cold) return options_.max_connections;
  const std::size_t doublings = answers_ / options_.warm_step;
  constexpr std::size_t kMaxDoublings = 16;
  return options_.cold_concurrency << std::min(doublings, kMaxDoublings);
}

bool FakeUpstream::warm() const { return Bears() >= options_.max_connections; }

std::string FakeUpstream::VersionList() const {
  std::string list;
  for (std::uint64_t version : options_.versions) {
    list += (list.empty() ? "" : ",") + std::to_string(version);
  }
  return list;
}

FakeReply FakeUpstream::Refusal(const FakeRequest& request, int status,
                                const std::string& state) const {
  return {
      .status = status,
      .headers = {{Text(headers::kAttempt), request.header(headers::kAttempt)},
                  {Text(headers::kInstance), instance_},
                  {Text(headers::kVersions), VersionList()},
                  {Text(headers::kState), state},
                  {Text(headers::kRan), "false"}},
      .body = ""};
}

bool FakeUpstream::RefuseAtDoor(const WorkPtr& work) {
  constexpr int kMisdirected = 421;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  const FakeRequest& request = work->request;
  int status = 0;
  std::string state;
  if (faults_.draining) {
    ++counts_.while_draining;
    status = kUnavailable;
    state = "draining";
  } else if (faults_.shed || queue_.size() >= options_.max_queue) {
    status = kTooMany;
    state = "shed";
  } else if (faults_.wrong_shard ||
             request.header(headers::kShard) != options_.shard) {
    status = kMisdirected;
    state = "moved";
  }
  if (status == 0) return false;
  work->connection->Reply(Refusal(request, status, state));
  return true;
}

void FakeUpstream::OnRequest(FakeRequest request,
                             std::shared_ptr<FakeConnection> connection) {
  auto work = std::make_shared<Work>(
      Work{std::move(request), std::move(connection), false});
  if (faults_.drop_before_run) {
    work->connection->Close();
    return;
  }
  if (RefuseAtDoor(work)) return;
  const std::size_t concurrent = active_ + queue_.size() + 1;
  counts_.most_concurrent =
      std::max<std::uint64_t>(counts_.most_concurrent, concurrent);
  if (!warm() && concurrent > Bears()) {
    ++counts_.cold_excess;
    FallOver();
    return;
  }
  work->connection->set_on_gone([this, weak = std::weak_ptr(work)] {
    if (const auto gone = weak.lock()) {
      gone->gone = true;
      ++counts_.cancelled;
      std::erase(queue_, gone);
      gone->connection->Close();
    }
  });
  queue_.push_back(work);
  StartNext();
}

void FakeUpstream::FallOver() {
  ++counts_.falls;
  Restart();
  server_.set_down(true);
  auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, options_.fall_time);
  timer->async_wait([this, timer](boost::system::error_code) {
    server_.set_down(faults_.down);
  });
}

Duration FakeUpstream::ServiceTime() {
  const std::bernoulli_distribution straggles(faults_.straggle_fraction);
  std::bernoulli_distribution draw = straggles;
  if (draw(random_)) return faults_.straggle_time;
  // A long tail: the median is the service time, one in a hundred takes about
  // three times as long.
  constexpr double kSigma = 0.5;
  std::lognormal_distribution<double> factor(0, kSigma);
  return std::chrono::duration_cast<Duration>(options_.service_time *
                                              factor(random_));
}

void FakeUpstream::StartNext() {
  while (active_ < options_.slots && !queue_.empty()) {
    const WorkPtr work = queue_.front();
    queue_.pop_front();
    ++active_;
    auto timer =
        std::make_shared<boost::asio::steady_timer>(io_, ServiceTime());
    timer->async_wait([this, timer, work,
                       generation = generation_](boost::system::error_code) {
      if (generation != generation_) return;
      --active_;
      Finish(work);
      StartNext();
    });
  }
}

void FakeUpstream::Finish(const WorkPtr& work) {
  const FakeRequest& request = work->request;
  const bool write = request.path == "/write";
  ++answers_;
  if (write) {
    ++counts_.writes;
    if (++write_runs_[request.header(headers::kWriteId)] > 1) {
      ++counts_.writes_repeated;
    }
  } else {
    ++counts_.queries;
  }
  if (work->gone) return;
  if (faults_.drop_after_run) {
    work->connection->Close();
    return;
  }
  work->connection->Reply(write ? WriteReply(request) : QueryReply(request));
}

FakeReply FakeUpstream::QueryReply(const FakeRequest& request) const {
  std::uint64_t version =
      std::strtoull(request.header(headers::kVersion).c_str(), nullptr, 10);
  if (version == 0) version = options_.versions.back();
  const bool has = std::find(options_.versions.begin(), options_.versions.end(),
                             version) != options_.versions.end();
  constexpr int kConflict = 409;
  if (!has) return Refusal(request, kConflict, "version");
  if (faults_.wrong_version) ++version;
  const std::string item = "{\"shard\":\"" + options_.shard +
                           "\",\"version\":" + std::to_string(version) + "}";
  FakeReply reply;
  reply.body =
      faults_.short_items ? "[" + item + "]" : "[" + item + "," + item + "]";
  std::string attempt = request.header(headers::kAttempt);
  if (faults_.crossed) attempt += "-other";
  reply.headers = {{Text(headers::kAttempt), attempt},
                   {Text(headers::kShard), options_.shard},
                   {Text(headers::kVersion), std::to_string(version)},
                   {Text(headers::kVersions), VersionList()},
                   {Text(headers::kInstance), instance_},
                   {Text(headers::kCount), "2"}};
  if (faults_.truncated) reply.truncate = reply.body.size() / 2;
  return reply;
}

FakeReply FakeUpstream::WriteReply(const FakeRequest& request) {
  FakeReply reply;
  std::string attempt = request.header(headers::kAttempt);
  if (faults_.crossed) attempt += "-other";
  reply.headers = {{Text(headers::kAttempt), attempt},
                   {Text(headers::kInstance), instance_},
                   {Text(headers::kRan), "true"}};
  reply.body = "written " + request.header(headers::kWriteId);
  return reply;
}

}  // namespace lacewingknot::testing
