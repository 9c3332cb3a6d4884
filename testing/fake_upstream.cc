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
      server_(io,
              {.port = options_.port,
               .connect_cost = options_.connect_delay,
               .max_connections = options_.max_connections,
               .handler = [this](FakeRequest request,
                                 std::shared_ptr<FakeConnection> connection) {
                 OnRequest(std::move(request), std::move(connection));
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
  answer_count_ = 0;
  active_requests_ = 0;
  queue_.clear();
  server_.CloseAll();
}

void FakeUpstream::SetDown(bool down) {
  faults_.down = down;
  server_.set_down(down);
  if (down) Restart();
}

std::size_t FakeUpstream::Capacity() const {
  if (!options_.starts_cold) return options_.max_connections;
  const std::size_t doublings = answer_count_ / options_.answers_per_doubling;
  constexpr std::size_t kMaxDoublings = 16;
  return options_.cold_concurrency << std::min(doublings, kMaxDoublings);
}

bool FakeUpstream::warm() const {
  return Capacity() >= options_.max_connections;
}

std::string FakeUpstream::JoinVersions() const {
  std::string list;
  for (std::uint64_t version : options_.versions) {
    list += (list.empty() ? "" : ",") + std::to_string(version);
  }
  return list;
}

FakeReply FakeUpstream::MakeRefusal(const FakeRequest& request, int status,
                                    const std::string& state) const {
  return {
      .status = status,
      .headers = {{Text(headers::kAttempt), request.header(headers::kAttempt)},
                  {Text(headers::kInstance), instance_},
                  {Text(headers::kVersions), JoinVersions()},
                  {Text(headers::kState), state},
                  {Text(headers::kRan), "false"}},
      .body = ""};
}

bool FakeUpstream::ReplyIfRefused(const PendingRequestPtr& pending) {
  constexpr int kMisdirected = 421;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  const FakeRequest& request = pending->request;
  int status = 0;
  std::string state;
  if (faults_.draining) {
    ++counts_.received_while_draining;
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
  pending->connection->Reply(MakeRefusal(request, status, state));
  return true;
}

void FakeUpstream::OnRequest(FakeRequest request,
                             std::shared_ptr<FakeConnection> connection) {
  auto pending = std::make_shared<PendingRequest>(
      PendingRequest{std::move(request), std::move(connection), false});
  if (faults_.drop_before_run) {
    pending->connection->Close();
    return;
  }
  if (ReplyIfRefused(pending)) return;
  const std::size_t concurrency = active_requests_ + queue_.size() + 1;
  counts_.peak_concurrency =
      std::max<std::uint64_t>(counts_.peak_concurrency, concurrency);
  if (!warm() && concurrency > Capacity()) {
    ++counts_.cold_excess;
    Crash();
    return;
  }
  pending->connection->set_on_peer_closed(
      [this, weak = std::weak_ptr(pending)] {
        if (const auto cancelled = weak.lock()) {
          cancelled->is_cancelled = true;
          ++counts_.cancelled;
          std::erase(queue_, cancelled);
          cancelled->connection->Close();
        }
      });
  queue_.push_back(pending);
  StartNext();
}

void FakeUpstream::Crash() {
  ++counts_.crashes;
  Restart();
  server_.set_down(true);
  auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, options_.crash_downtime);
  timer->async_wait([this, timer](boost::system::error_code) {
    server_.set_down(faults_.down);
  });
}

Duration FakeUpstream::DrawServiceTime() {
  const std::bernoulli_distribution straggles(faults_.straggle_fraction);
  std::bernoulli_distribution is_straggler = straggles;
  if (is_straggler(random_)) return faults_.straggle_time;
  // Service times have a long tail: the median is `service_time`, and one
  // request in a hundred takes about three times as long.
  constexpr double kSigma = 0.5;
  std::lognormal_distribution<double> factor(0, kSigma);
  return std::chrono::duration_cast<Duration>(options_.service_time *
                                              factor(random_));
}

void FakeUpstream::StartNext() {
  while (active_requests_ < options_.slots && !queue_.empty()) {
    const PendingRequestPtr pending = queue_.front();
    queue_.pop_front();
    ++active_requests_;
    auto timer =
        std::make_shared<boost::asio::steady_timer>(io_, DrawServiceTime());
    timer->async_wait([this, timer, pending,
                       generation = generation_](boost::system::error_code) {
      if (generation != generation_) return;
      --active_requests_;
      Finish(pending);
      StartNext();
    });
  }
}

void FakeUpstream::Finish(const PendingRequestPtr& pending) {
  const FakeRequest& request = pending->request;
  const bool is_write = request.path == "/write";
  ++answer_count_;
  if (is_write) {
    ++counts_.writes;
    if (++write_runs_[request.header(headers::kWriteId)] > 1) {
      ++counts_.writes_repeated;
    }
  } else {
    ++counts_.queries;
  }
  if (pending->is_cancelled) return;
  if (faults_.drop_after_run) {
    pending->connection->Close();
    return;
  }
  pending->connection->Reply(is_write ? MakeWriteReply(request)
                                      : MakeQueryReply(request));
}

FakeReply FakeUpstream::MakeQueryReply(const FakeRequest& request) const {
  std::uint64_t version =
      std::strtoull(request.header(headers::kVersion).c_str(), nullptr, 10);
  if (version == 0) version = options_.versions.back();
  const bool has_version =
      std::find(options_.versions.begin(), options_.versions.end(), version) !=
      options_.versions.end();
  constexpr int kConflict = 409;
  if (!has_version) return MakeRefusal(request, kConflict, "version");
  if (faults_.wrong_version) ++version;
  const std::string item = "{\"shard\":\"" + options_.shard +
                           "\",\"version\":" + std::to_string(version) + "}";
  FakeReply reply;
  reply.body =
      faults_.short_items ? "[" + item + "]" : "[" + item + "," + item + "]";
  std::string attempt = request.header(headers::kAttempt);
  if (faults_.mismatched_attempt) attempt += "-other";
  reply.headers = {{Text(headers::kAttempt), attempt},
                   {Text(headers::kShard), options_.shard},
                   {Text(headers::kVersion), std::to_string(version)},
                   {Text(headers::kVersions), JoinVersions()},
                   {Text(headers::kInstance), instance_},
                   {Text(headers::kCount), "2"}};
  if (faults_.truncated) reply.truncate = reply.body.size() / 2;
  return reply;
}

FakeReply FakeUpstream::MakeWriteReply(const FakeRequest& request) {
  FakeReply reply;
  std::string attempt = request.header(headers::kAttempt);
  if (faults_.mismatched_attempt) attempt += "-other";
  reply.headers = {{Text(headers::kAttempt), attempt},
                   {Text(headers::kInstance), instance_},
                   {Text(headers::kRan), "true"}};
  reply.body = "written " + request.header(headers::kWriteId);
  return reply;
}

}  // namespace lacewingknot::testing
