// lacewingknot_bench: measures the costs that docs/CAPACITY.md fits lines to.
//
//   lacewingknot_bench settings   size, parse time and memory of a settings
//                                 document against upstreams
//   lacewingknot_bench table      memory and decision time of the table of
//                                 upstreams against upstreams
//   lacewingknot_bench relay      cost of a relayed sub-request against the
//                                 batch size
//   lacewingknot_bench control    cost of the control loops of a whole fleet in
//                                 one process, against daemons
//   lacewingknot_bench gossip     rounds until a change has reached every
//                                 daemon, simulated
//   lacewingknot_bench tail       latency quantiles of a fan-out against its
//                                 width, simulated
//
// Each command prints a table: tab-separated rows after a header line.

#include <sys/resource.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/daemon/control_loop.h"
#include "lacewingknot/http/server.h"
#include "lacewingknot/policy/upstream_table.h"
#include "testing/fake_platform.h"

namespace lacewingknot::testing {
namespace {

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Resident memory of this process in bytes.
std::size_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t pages = 0;
  std::size_t resident = 0;
  statm >> pages >> resident;
  constexpr std::size_t kPageBytes = 4'096;
  return resident * kPageBytes;
}

// Returns a settings document with `upstreams` upstreams, two for each shard.
std::string SettingsText(std::uint64_t revision, int upstreams) {
  std::string text = "revision = " + std::to_string(revision) +
                     "\n[data_centre.a]\nstate = \"in\"\n[service.all]\n";
  for (int i = 0; i < upstreams; ++i) {
    const std::string shard = "s" + std::to_string(i / 2);
    if (i % 2 == 0) text += "[service." + shard + "]\nparent = \"all\"\n";
    text += "[upstream.u" + std::to_string(i) + "]\nservice = \"" + shard +
            "\"\naddress = \"127.0.0.1:" + std::to_string(1'000 + i) +
            "\"\ndata_centre = \"a\"\n";
  }
  return text;
}

// Returns a list of `daemons` VMs that listen for peers on consecutive ports.
VmListPtr MakeVmList(std::uint64_t revision, int daemons, int base_port) {
  auto list = std::make_shared<VmList>();
  list->revision = revision;
  for (int i = 0; i < daemons; ++i) {
    list->vms.push_back(
        {.id = "vm-" + std::to_string(i),
         .data_centre = "a",
         .peer_address = "127.0.0.1:" + std::to_string(base_port + i)});
  }
  return list;
}

// Returns `list` as the document that the platform serves.
std::string VmListText(const VmList& list) {
  nlohmann::json vms = nlohmann::json::array();
  for (const VmEntry& vm : list.vms) {
    vms.push_back({{"id", vm.id},
                   {"data_centre", vm.data_centre},
                   {"peer_address", vm.peer_address}});
  }
  return nlohmann::json{{"revision", list.revision}, {"vms", vms}}.dump();
}

void BenchSettings(const std::vector<int>& sizes) {
  std::cout << "upstreams\tbytes\tparse_ms\tresident_kb\n";
  for (int upstreams : sizes) {
    const std::string text = SettingsText(1, upstreams);
    const std::size_t before = ResidentBytes();
    const SettingsPtr tree = ParseSettings(text).tree;
    const std::size_t after = ResidentBytes();
    constexpr int kRuns = 10;
    const double started = CpuSeconds();
    for (int run = 0; run < kRuns; ++run) ParseSettings(text);
    const double millis = (CpuSeconds() - started) * 1e3 / kRuns;
    std::cout << upstreams << "\t" << text.size() << "\t" << millis << "\t"
              << (after - std::min(before, after)) / 1'024 << "\n";
  }
}

void BenchTable(int daemons) {
  std::cout << "daemons\tupstreams\tshards\tresident_kb\tchoose_version_us\t"
               "choose_us_per_shard\n";
  for (int upstreams : {100, 300, 600, 1'100, 2'200}) {
    const SettingsPtr tree = ParseSettings(SettingsText(1, upstreams)).tree;
    ManualClock clock;
    const std::size_t before = ResidentBytes();
    UpstreamTable table(
        {.fleet = {.self = "vm-0", .lease = std::chrono::seconds(3)},
         .seed = 1});
    table.ApplySettings(tree);
    table.ApplyVmList(MakeVmList(1, daemons, 1), clock.now());
    clock.Advance(std::chrono::seconds(4));
    table.fleet().OnConfirmed(1, clock.now());
    table.set_permit_until(clock.now() + std::chrono::seconds(60));
    const auto shards = table.Shards("all").value();
    const std::vector<IndexVersion> versions{41, 42};
    for (const ShardTarget& shard : shards) {
      for (UpstreamHandle replica : shard.replicas) {
        table.OnAnswer(replica, {.instance = "i", .versions = versions},
                       clock.now());
      }
    }
    const std::size_t after = ResidentBytes();
    constexpr int kRuns = 200;
    double started = CpuSeconds();
    for (int run = 0; run < kRuns; ++run) {
      table.ChooseVersion(shards, {}, clock.now());
    }
    const double version_us = (CpuSeconds() - started) * 1e6 / kRuns;
    started = CpuSeconds();
    for (int run = 0; run < kRuns; ++run) {
      for (const ShardTarget& shard : shards) {
        static_cast<void>(table.ChooseRoute(
            {.replicas = shard.replicas, .version = 42}, clock.now()));
      }
    }
    const double choose_us = (CpuSeconds() - started) * 1e6 / kRuns /
                             static_cast<double>(shards.size());
    std::cout << daemons << "\t" << upstreams << "\t" << shards.size() << "\t"
              << (after - std::min(before, after)) / 1'024 << "\t" << version_us
              << "\t" << choose_us << "\n";
  }
}

// Counts results; a thread can wait until a number of them has arrived. Thread
// safe.
class ResultCounter {
 public:
  void Add(std::size_t count) {
    std::lock_guard lock(mutex_);
    count_ += count;
    count_changed_.notify_all();
  }
  // Waits until `count` results have arrived, at most 30 s.
  void WaitFor(std::size_t count) {
    std::unique_lock lock(mutex_);
    count_changed_.wait_for(lock, std::chrono::seconds(30),
                            [&] { return count_ >= count; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable count_changed_;
  std::size_t count_ = 0;
};

// Sends sub-requests to a relay that answers them itself, through nng and the
// codec. Measures the cost of relaying alone, for both daemons together.
void BenchRelay(int base_port) {
  std::cout << "batch\titems\tcpu_us_per_item\titems_per_s\tbytes_per_item\n";
  const std::string entry_address = "127.0.0.1:" + std::to_string(base_port);
  const std::string relay_address =
      "127.0.0.1:" + std::to_string(base_port + 1);
  for (std::size_t batch : {1, 2, 4, 8, 16, 32, 64}) {
    ResultCounter results;
    PeerChannel* relay_channel = nullptr;
    PeerChannel entry(
        {.listen = entry_address, .on_message = [&](std::string_view bytes) {
           const auto envelope = DecodeEnvelope(bytes);
           const auto reply = DecodePeerBody<RelayReply>(envelope.value().body);
           results.Add(reply.value().results.size());
         }});
    PeerChannel relay(
        {.listen = relay_address, .on_message = [&](std::string_view bytes) {
           const auto envelope = DecodeEnvelope(bytes);
           const auto request =
               DecodePeerBody<RelayRequest>(envelope.value().body);
           RelayReply reply;
           for (const RelayedAttempt& item : request.value().items) {
             reply.results.push_back({.attempt = item.attempt,
                                      .version = 42,
                                      .versions = {41, 42},
                                      .items = std::string(200, 'x'),
                                      .item_count = 2});
           }
           static_cast<void>(relay_channel->Send(
               entry_address,
               EncodeEnvelope({.kind = static_cast<std::uint32_t>(
                                   PeerMessageKind::kRelayReply),
                               .from = "relay",
                               .reply_to = relay_address,
                               .body = EncodePeerBody(reply)})));
         }});
    relay_channel = &relay;
    if (!entry.Start() || !relay.Start()) return;
    entry.StartConnecting(relay_address);
    relay.StartConnecting(entry_address);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    RelayRequest request;
    for (std::size_t i = 0; i < batch; ++i) {
      request.items.push_back({.attempt = i,
                               .upstream = "availability07-1",
                               .shard = "availability07",
                               .version = 42,
                               .time_left_us = 90'000,
                               .query = "betula pendula 120-150"});
    }
    constexpr std::size_t kItems = 64'000;
    // Messages in flight at once, fewer than nng's buffer holds.
    constexpr std::size_t kWindow = 32;
    const double cpu_at_start = CpuSeconds();
    const TimePoint started = BootClock::now();
    std::size_t sent = 0;
    while (sent < kItems) {
      const std::string bytes = EncodeEnvelope(
          {.kind = static_cast<std::uint32_t>(PeerMessageKind::kRelayRequest),
           .from = "entry",
           .reply_to = entry_address,
           .body = EncodePeerBody(request)});
      if (!entry.Send(relay_address, bytes)) continue;
      sent += batch;
      if (sent > kWindow * batch) results.WaitFor(sent - kWindow * batch);
    }
    results.WaitFor(sent);
    const double cpu = CpuSeconds() - cpu_at_start;
    const double elapsed =
        std::chrono::duration<double>(BootClock::now() - started).count();
    const double items = static_cast<double>(sent);
    std::cout << batch << "\t" << sent << "\t" << cpu * 1e6 / items << "\t"
              << items / elapsed << "\t"
              << static_cast<double>(entry.byte_count()) / items << std::endl;
    entry.Stop();
    relay.Stop();
  }
}

// The control loop of one daemon, without the part that serves traffic.
struct ControlNode {
  Blackboard board;
  Metrics metrics;
  std::unique_ptr<PeerChannel> channel;
  std::unique_ptr<ControlLoop> loop;
};

// The control loops of `daemons` daemons on one thread, with a fake platform.
// Each daemon requests warm-up reports for `wanted` of its upstreams.
class ControlFleet {
 public:
  ControlFleet(int daemons, int upstreams, int wanted, int base_port);
  void Start();
  void Publish(std::uint64_t revision) {
    boost::asio::post(io_, [this, revision] {
      platform_.Put("settings", {revision, SettingsText(revision, upstreams_)});
    });
  }
  // Returns the lowest settings revision in force at any daemon, 0 if a daemon
  // has none yet.
  std::uint64_t LowestRevision() const;
  // Returns the bytes that all daemons together have exchanged with their
  // peers, counted at both ends.
  std::uint64_t PeerBytes() const;
  std::uint64_t PlatformCalls() const { return platform_.calls(); }
  std::uint64_t PeakPlatformCallsPerSecond() const {
    return platform_.peak_calls_per_second();
  }

 private:
  int upstreams_;
  boost::asio::io_context io_{1};
  FakePlatform platform_;
  std::vector<std::unique_ptr<ControlNode>> nodes_;
  std::thread thread_;
};

ControlFleet::ControlFleet(int daemons, int upstreams, int wanted,
                           int base_port)
    : upstreams_(upstreams),
      platform_(io_, static_cast<std::uint16_t>(base_port)) {
  const VmListPtr list = MakeVmList(1, daemons, base_port + 10);
  platform_.Put("vms", {1, VmListText(*list)});
  platform_.Put("settings", {1, SettingsText(1, upstreams)});
  const std::string platform = "127.0.0.1:" + std::to_string(base_port);
  for (int i = 0; i < daemons; ++i) {
    auto node = std::make_unique<ControlNode>();
    const std::string address =
        list->vms[static_cast<std::size_t>(i)].peer_address;
    ControlNode* control_node = node.get();
    node->channel = std::make_unique<PeerChannel>(PeerChannel::Options{
        .listen = address,
        .on_message = [this, control_node](std::string_view bytes) {
          auto envelope = DecodeEnvelope(bytes);
          if (!envelope) return;
          boost::asio::post(io_, [control_node, message = envelope.value()] {
            control_node->loop->OnMessage(message);
          });
        }});
    node->loop = std::make_unique<ControlLoop>(
        io_, node->board, node->metrics, *node->channel,
        ControlLoop::Options{.vm = list->vms[static_cast<std::size_t>(i)].id,
                             .platform = platform,
                             .peer_listen = address,
                             .clock = BootTimeClock(),
                             .on_warmup_report = [](const std::string&,
                                                    const WarmupReport&) {}});
    WarmupReportsSection evidence;
    for (int upstream = 0; upstream < upstreams; ++upstream) {
      const std::string name = "u" + std::to_string(upstream);
      evidence.reports.push_back(
          {name, {.instance = name + "#1.12345", .level = 25}});
      if (upstream < wanted) evidence.requested_upstreams.push_back(name);
    }
    node->board.warmup_reports.Publish(std::move(evidence));
    nodes_.push_back(std::move(node));
  }
}

void ControlFleet::Start() {
  for (auto& node : nodes_) static_cast<void>(node->channel->Start());
  // Posts each start separately, so that the starts are spread, as those of
  // real VMs are.
  for (auto& node : nodes_) {
    boost::asio::post(
        io_, [control_node = node.get()] { control_node->loop->Start(); });
  }
  thread_ = std::thread([this] { io_.run(); });
}

std::uint64_t ControlFleet::LowestRevision() const {
  std::uint64_t lowest = UINT64_MAX;
  for (const auto& node : nodes_) {
    const auto section = node->board.settings.Read();
    lowest = std::min(lowest, section == nullptr ? std::uint64_t{0}
                                                 : section->settings->revision);
  }
  return lowest;
}

std::uint64_t ControlFleet::PeerBytes() const {
  std::uint64_t bytes = 0;
  for (const auto& node : nodes_) bytes += node->channel->byte_count();
  return bytes;
}

// Waits until all daemons have `revision` in force, at most 30 s. Returns the
// seconds waited.
double WaitForRevision(const ControlFleet& fleet, std::uint64_t revision) {
  const TimePoint started = BootClock::now();
  constexpr Duration kTimeout = std::chrono::seconds(30);
  while (fleet.LowestRevision() < revision &&
         BootClock::now() - started < kTimeout) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return std::chrono::duration<double>(BootClock::now() - started).count();
}

void BenchControl(int base_port, const std::vector<int>& sizes, int upstreams,
                  int wanted) {
  std::cout << "daemons\tupstreams\twanted\tcpu_percent_each\t"
               "peer_bytes_s_each\tplatform_calls_s\tstart_calls_s\t"
               "resident_kb_each\tchange_s\n";
  int port = base_port;
  for (int daemons : sizes) {
    const std::size_t before = ResidentBytes();
    // Never destroyed, because nng can spin when many sockets close; see Run.
    ControlFleet& fleet = *new ControlFleet(daemons, upstreams, wanted, port);
    fleet.Start();
    WaitForRevision(fleet, 1);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const std::uint64_t peak_calls_at_start =
        fleet.PeakPlatformCallsPerSecond();
    const double cpu_at_start = CpuSeconds();
    const std::uint64_t bytes_at_start = fleet.PeerBytes();
    const std::uint64_t calls_at_start = fleet.PlatformCalls();
    constexpr double kSeconds = 8;
    std::this_thread::sleep_for(std::chrono::duration<double>(kSeconds));
    const double daemon_seconds = kSeconds * daemons;
    const double cpu = (CpuSeconds() - cpu_at_start) / daemon_seconds * 100;
    const double bytes =
        static_cast<double>(fleet.PeerBytes() - bytes_at_start) /
        daemon_seconds;
    const double calls =
        static_cast<double>(fleet.PlatformCalls() - calls_at_start) / kSeconds;
    const std::size_t resident = ResidentBytes() - before;
    fleet.Publish(2);
    const double change = WaitForRevision(fleet, 2);
    std::cout << daemons << "\t" << upstreams << "\t" << wanted << "\t" << cpu
              << "\t" << bytes << "\t" << calls << "\t" << peak_calls_at_start
              << "\t" << resident / 1'024 / static_cast<std::size_t>(daemons)
              << "\t" << change << std::endl;
    port += 1'000;
  }
}

// Simulates how many rounds of exchanges it takes until a change that one
// daemon has read has reached all daemons. In each round, every daemon pulls
// from the next three of its exchange peers.
void BenchGossip() {
  std::cout << "daemons\tturns_mean\tturns_worst\tseconds_worst\n";
  constexpr int kSeeds = 50;
  constexpr std::size_t kPeersEach = 3;
  constexpr double kIntervalSeconds = 0.5;
  for (int daemons : {9, 25, 50, 100, 250, 500, 1'000}) {
    const VmListPtr list = MakeVmList(1, daemons, 1);
    std::vector<std::vector<std::size_t>> exchange_peers;
    for (const VmEntry& vm : list->vms) {
      std::vector<std::size_t> indices;
      for (const VmEntry* peer : SelectExchangePeers(*list, vm.id)) {
        indices.push_back(static_cast<std::size_t>(peer - list->vms.data()));
      }
      exchange_peers.push_back(std::move(indices));
    }
    double sum = 0;
    int worst = 0;
    for (int seed = 0; seed < kSeeds; ++seed) {
      std::mt19937 random(static_cast<unsigned>(seed));
      std::vector<std::size_t> next(exchange_peers.size());
      for (auto& position : next) position = random();
      std::vector<bool> has_change(exchange_peers.size(), false);
      has_change[random() % has_change.size()] = true;
      int rounds = 0;
      while (std::find(has_change.begin(), has_change.end(), false) !=
             has_change.end()) {
        const std::vector<bool> before = has_change;
        for (std::size_t vm = 0; vm < has_change.size(); ++vm) {
          for (std::size_t i = 0; i < kPeersEach; ++i) {
            const auto& peers = exchange_peers[vm];
            if (before[peers[next[vm]++ % peers.size()]]) has_change[vm] = true;
          }
        }
        ++rounds;
      }
      sum += rounds;
      worst = std::max(worst, rounds);
    }
    std::cout << daemons << "\t" << sum / kSeeds << "\t" << worst << "\t"
              << worst * kIntervalSeconds << "\n";
  }
}

// Simulates the latency of a fan-out whose sub-requests follow the fake
// upstream's distribution and 0.2% of them take 80 ms, with and without a hedge
// after the sub-request's 97th percentile. Hedges are not limited by a budget.
void BenchTail() {
  std::cout << "fan_out\tp50_ms\tp99_ms\thedged_p50_ms\thedged_p99_ms\t"
               "extra_percent\n";
  std::mt19937_64 random(1);
  std::lognormal_distribution<double> factor(0, 0.5);
  std::bernoulli_distribution is_straggler(0.002);
  constexpr double kMedianMs = 5;
  constexpr double kStragglerMs = 80;
  const auto draw_latency = [&] {
    return is_straggler(random) ? kStragglerMs : kMedianMs * factor(random);
  };
  std::vector<double> sample(100'000);
  for (double& latency : sample) latency = draw_latency();
  std::sort(sample.begin(), sample.end());
  constexpr double kHedgeQuantile = 0.97;
  const double hedge_after = sample[static_cast<std::size_t>(
      kHedgeQuantile * static_cast<double>(sample.size()))];
  for (int fan_out : {20, 64, 128, 255, 510}) {
    constexpr int kQueries = 4'000;
    std::vector<double> plain;
    std::vector<double> hedged;
    std::size_t hedges = 0;
    for (int query = 0; query < kQueries; ++query) {
      double slowest = 0;
      double slowest_hedged = 0;
      for (int shard = 0; shard < fan_out; ++shard) {
        const double first = draw_latency();
        slowest = std::max(slowest, first);
        double best = first;
        if (first > hedge_after) {
          ++hedges;
          best = std::min(first, hedge_after + draw_latency());
        }
        slowest_hedged = std::max(slowest_hedged, best);
      }
      plain.push_back(slowest);
      hedged.push_back(slowest_hedged);
    }
    std::sort(plain.begin(), plain.end());
    std::sort(hedged.begin(), hedged.end());
    const auto quantile = [](const std::vector<double>& sorted, double q) {
      return sorted[static_cast<std::size_t>(
          q * static_cast<double>(sorted.size() - 1))];
    };
    std::cout << fan_out << "\t" << quantile(plain, 0.5) << "\t"
              << quantile(plain, 0.99) << "\t" << quantile(hedged, 0.5) << "\t"
              << quantile(hedged, 0.99) << "\t"
              << 100.0 * static_cast<double>(hedges) /
                     (static_cast<double>(fan_out) * kQueries)
              << "\n";
  }
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Benchmarks for docs/CAPACITY.md", ' ', "0.1.0");
  TCLAP::UnlabeledValueArg<std::string> command_arg(
      "what", "settings, table, relay, control, gossip or tail", true, "",
      "COMMAND", command);
  TCLAP::ValueArg<int> port("", "base-port", "First port", false, 30'000,
                            "PORT", command);
  TCLAP::ValueArg<int> upstreams("", "upstreams", "Upstreams", false, 119, "N",
                                 command);
  TCLAP::ValueArg<int> wanted("", "wanted", "Upstreams with requested reports",
                              false, 0, "N", command);
  TCLAP::MultiArg<int> daemons("", "daemons", "Daemons", false, "N", command);
  command.parse(argc, argv);
  InitializeHttpThreads(2);
  ConfigureLogging(LogLevel::kError, "bench");
  if (command_arg.getValue() == "settings") {
    const std::vector<int> all{100, 300, 600, 1'100, 2'200, 4'400};
    BenchSettings(upstreams.isSet() ? std::vector<int>{upstreams.getValue()}
                                    : all);
  }
  if (command_arg.getValue() == "table") {
    std::vector<int> sizes = daemons.getValue();
    if (sizes.empty()) sizes = {9, 50, 500};
    for (int size : sizes) BenchTable(size);
  }
  if (command_arg.getValue() == "relay") BenchRelay(port.getValue());
  if (command_arg.getValue() == "gossip") BenchGossip();
  if (command_arg.getValue() == "tail") BenchTail();
  if (command_arg.getValue() == "control") {
    std::vector<int> sizes = daemons.getValue();
    if (sizes.empty()) sizes = {9, 25, 50, 100};
    BenchControl(port.getValue(), sizes, upstreams.getValue(),
                 wanted.getValue());
  }
  // Exits without destructors: nng 1.5 can spin forever when hundreds of
  // reconnecting sockets are closed at once, and the process has nothing else
  // to clean up.
  std::cout.flush();
  std::_Exit(0);
}

}  // namespace
}  // namespace lacewingknot::testing

int main(int argc, char** argv) {
  return lacewingknot::testing::Run(argc, argv);
}
