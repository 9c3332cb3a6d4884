// lacewingknot_bench: slopes for docs/CAPACITY.md, one table for each command.
//
//   lacewingknot_bench settings   document size against upstreams; parse time
//   lacewingknot_bench table      memory and decision time against upstreams
//   lacewingknot_bench relay      time of a relayed sub-request against batch
//   lacewingknot_bench control    many control parts in one process
//   lacewingknot_bench tail       quantiles of a fan-out from a distribution
//
// Rows are tab-separated with a header line.

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

VmListPtr MakeList(std::uint64_t revision, int daemons, int base_port) {
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

std::string ListText(const VmList& list) {
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
    const double began = CpuSeconds();
    for (int run = 0; run < kRuns; ++run) ParseSettings(text);
    const double millis = (CpuSeconds() - began) * 1e3 / kRuns;
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
    table.ApplyVmList(MakeList(1, daemons, 1), clock.now());
    clock.Advance(std::chrono::seconds(4));
    table.fleet().OnConfirmed(1, clock.now());
    table.set_permit(clock.now() + std::chrono::seconds(60));
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
    double began = CpuSeconds();
    for (int run = 0; run < kRuns; ++run) {
      table.ChooseVersion(shards, {}, clock.now());
    }
    const double version_us = (CpuSeconds() - began) * 1e6 / kRuns;
    began = CpuSeconds();
    for (int run = 0; run < kRuns; ++run) {
      for (const ShardTarget& shard : shards) {
        static_cast<void>(table.Choose(
            {.replicas = shard.replicas, .version = 42}, clock.now()));
      }
    }
    const double choose_us = (CpuSeconds() - began) * 1e6 / kRuns /
                             static_cast<double>(shards.size());
    std::cout << daemons << "\t" << upstreams << "\t" << shards.size() << "\t"
              << (after - std::min(before, after)) / 1'024 << "\t" << version_us
              << "\t" << choose_us << "\n";
  }
}

// Counts messages until an expected number has come.
class Arrivals {
 public:
  void Add(std::size_t count) {
    std::lock_guard lock(mutex_);
    count_ += count;
    arrived_.notify_all();
  }
  void WaitFor(std::size_t count) {
    std::unique_lock lock(mutex_);
    arrived_.wait_for(lock, std::chrono::seconds(30),
                      [&] { return count_ >= count; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::size_t count_ = 0;
};

// Sub-requests out and results back through nng and the codec, with nothing
// behind the relay: the cost of relaying itself, both daemons together.
void BenchRelay(int base_port) {
  std::cout << "batch\titems\tcpu_us_per_item\titems_per_s\tbytes_per_item\n";
  const std::string entry_address = "127.0.0.1:" + std::to_string(base_port);
  const std::string relay_address =
      "127.0.0.1:" + std::to_string(base_port + 1);
  for (std::size_t batch : {1, 2, 4, 8, 16, 32, 64}) {
    Arrivals results;
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
           for (const RelayItem& item : request.value().items) {
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
    entry.Prepare(relay_address);
    relay.Prepare(entry_address);
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
    // Messages under way at once; nng's buffer holds more.
    constexpr std::size_t kWindow = 32;
    const double cpu_began = CpuSeconds();
    const TimePoint began = BootClock::now();
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
    const double cpu = CpuSeconds() - cpu_began;
    const double elapsed =
        std::chrono::duration<double>(BootClock::now() - began).count();
    const double items = static_cast<double>(sent);
    std::cout << batch << "\t" << sent << "\t" << cpu * 1e6 / items << "\t"
              << items / elapsed << "\t"
              << static_cast<double>(entry.bytes()) / items << std::endl;
    entry.Stop();
    relay.Stop();
  }
}

// One daemon's control part, without traffic.
struct ControlNode {
  Blackboard board;
  Metrics metrics;
  std::unique_ptr<PeerChannel> channel;
  std::unique_ptr<ControlLoop> loop;
};

class ControlFleet {
 public:
  ControlFleet(int daemons, int upstreams, int wanted, int base_port);
  void Start();
  void Publish(std::uint64_t revision) {
    boost::asio::post(io_, [this, revision] {
      platform_.Put("settings", {revision, SettingsText(revision, upstreams_)});
    });
  }
  std::uint64_t LowestRevision() const;
  std::uint64_t Bytes() const;
  std::uint64_t PlatformCalls() const { return platform_.calls(); }
  std::uint64_t MostPlatformCalls() const {
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
  const VmListPtr list = MakeList(1, daemons, base_port + 10);
  platform_.Put("vms", {1, ListText(*list)});
  platform_.Put("settings", {1, SettingsText(1, upstreams)});
  const std::string platform = "127.0.0.1:" + std::to_string(base_port);
  for (int i = 0; i < daemons; ++i) {
    auto node = std::make_unique<ControlNode>();
    const std::string address =
        list->vms[static_cast<std::size_t>(i)].peer_address;
    ControlNode* raw = node.get();
    node->channel = std::make_unique<PeerChannel>(PeerChannel::Options{
        .listen = address, .on_message = [this, raw](std::string_view bytes) {
          auto envelope = DecodeEnvelope(bytes);
          if (!envelope) return;
          boost::asio::post(io_, [raw, message = envelope.value()] {
            raw->loop->OnMessage(message);
          });
        }});
    node->loop = std::make_unique<ControlLoop>(
        io_, node->board, node->metrics, *node->channel,
        ControlLoop::Options{
            .vm = list->vms[static_cast<std::size_t>(i)].id,
            .platform = platform,
            .peer_listen = address,
            .clock = SystemClock(),
            .on_claim = [](const std::string&, const WarmthClaim&) {}});
    EvidenceSection evidence;
    for (int upstream = 0; upstream < upstreams; ++upstream) {
      const std::string name = "u" + std::to_string(upstream);
      evidence.claims.push_back(
          {name, {.instance = name + "#1.12345", .level = 25}});
      if (upstream < wanted) evidence.wanted.push_back(name);
    }
    node->board.evidence.Publish(std::move(evidence));
    nodes_.push_back(std::move(node));
  }
}

void ControlFleet::Start() {
  for (auto& node : nodes_) static_cast<void>(node->channel->Start());
  // Starts are spread, as those of real VMs are.
  for (auto& node : nodes_) {
    boost::asio::post(io_, [raw = node.get()] { raw->loop->Start(); });
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

std::uint64_t ControlFleet::Bytes() const {
  std::uint64_t bytes = 0;
  for (const auto& node : nodes_) bytes += node->channel->bytes();
  return bytes;
}

double WaitForRevision(const ControlFleet& fleet, std::uint64_t revision) {
  const TimePoint began = BootClock::now();
  constexpr Duration kLongest = std::chrono::seconds(30);
  while (fleet.LowestRevision() < revision &&
         BootClock::now() - began < kLongest) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return std::chrono::duration<double>(BootClock::now() - began).count();
}

void BenchControl(int base_port, const std::vector<int>& sizes, int upstreams,
                  int wanted) {
  std::cout << "daemons\tupstreams\twanted\tcpu_percent_each\t"
               "peer_bytes_s_each\tplatform_calls_s\tstart_calls_s\t"
               "resident_kb_each\tchange_s\n";
  int port = base_port;
  for (int daemons : sizes) {
    const std::size_t before = ResidentBytes();
    // Never destroyed: see the end of Run.
    ControlFleet& fleet = *new ControlFleet(daemons, upstreams, wanted, port);
    fleet.Start();
    WaitForRevision(fleet, 1);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const std::uint64_t start_calls = fleet.MostPlatformCalls();
    const double cpu_began = CpuSeconds();
    const std::uint64_t bytes_began = fleet.Bytes();
    const std::uint64_t calls_began = fleet.PlatformCalls();
    constexpr double kSeconds = 8;
    std::this_thread::sleep_for(std::chrono::duration<double>(kSeconds));
    const double each = kSeconds * daemons;
    const double cpu = (CpuSeconds() - cpu_began) / each * 100;
    const double bytes =
        static_cast<double>(fleet.Bytes() - bytes_began) / each;
    const double calls =
        static_cast<double>(fleet.PlatformCalls() - calls_began) / kSeconds;
    const std::size_t resident = ResidentBytes() - before;
    fleet.Publish(2);
    const double change = WaitForRevision(fleet, 2);
    std::cout << daemons << "\t" << upstreams << "\t" << wanted << "\t" << cpu
              << "\t" << bytes << "\t" << calls << "\t" << start_calls << "\t"
              << resident / 1'024 / static_cast<std::size_t>(daemons) << "\t"
              << change << std::endl;
    port += 1'000;
  }
}

// Seconds until a change that one daemon reads has reached all by exchanges.
// Virtual time: each turn every daemon asks its next three neighbours.
void BenchGossip() {
  std::cout << "daemons\tturns_mean\tturns_worst\tseconds_worst\n";
  constexpr int kSeeds = 50;
  constexpr std::size_t kPeersEach = 3;
  constexpr double kIntervalSeconds = 0.5;
  for (int daemons : {9, 25, 50, 100, 250, 500, 1'000}) {
    const VmListPtr list = MakeList(1, daemons, 1);
    std::vector<std::vector<std::size_t>> neighbours;
    for (const VmEntry& vm : list->vms) {
      std::vector<std::size_t> indices;
      for (const VmEntry* peer : Neighbours(*list, vm.id)) {
        indices.push_back(static_cast<std::size_t>(peer - list->vms.data()));
      }
      neighbours.push_back(std::move(indices));
    }
    double sum = 0;
    int worst = 0;
    for (int seed = 0; seed < kSeeds; ++seed) {
      std::mt19937 random(static_cast<unsigned>(seed));
      std::vector<std::size_t> next(neighbours.size());
      for (auto& at : next) at = random();
      std::vector<bool> has(neighbours.size(), false);
      has[random() % has.size()] = true;
      int turns = 0;
      while (std::find(has.begin(), has.end(), false) != has.end()) {
        const std::vector<bool> before = has;
        for (std::size_t vm = 0; vm < has.size(); ++vm) {
          for (std::size_t i = 0; i < kPeersEach; ++i) {
            const auto& mine = neighbours[vm];
            if (before[mine[next[vm]++ % mine.size()]]) has[vm] = true;
          }
        }
        ++turns;
      }
      sum += turns;
      worst = std::max(worst, turns);
    }
    std::cout << daemons << "\t" << sum / kSeeds << "\t" << worst << "\t"
              << worst * kIntervalSeconds << "\n";
  }
}

// Quantiles of a fan-out whose parts follow the stand-in's distribution, with
// one upstream in 20 a straggler, with and without a hedge after the part's
// 95th percentile within a budget of 5%.
void BenchTail() {
  std::cout << "fan_out\tp50_ms\tp99_ms\thedged_p50_ms\thedged_p99_ms\t"
               "extra_percent\n";
  std::mt19937_64 random(1);
  std::lognormal_distribution<double> factor(0, 0.5);
  std::bernoulli_distribution slow(0.002);
  constexpr double kMedianMs = 5;
  constexpr double kSlowMs = 80;
  const auto part = [&] {
    return slow(random) ? kSlowMs : kMedianMs * factor(random);
  };
  std::vector<double> sample(100'000);
  for (double& one : sample) one = part();
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
        const double first = part();
        slowest = std::max(slowest, first);
        double best = first;
        if (first > hedge_after) {
          ++hedges;
          best = std::min(first, hedge_after + part());
        }
        slowest_hedged = std::max(slowest_hedged, best);
      }
      plain.push_back(slowest);
      hedged.push_back(slowest_hedged);
    }
    std::sort(plain.begin(), plain.end());
    std::sort(hedged.begin(), hedged.end());
    const auto at = [](const std::vector<double>& sorted, double q) {
      return sorted[static_cast<std::size_t>(
          q * static_cast<double>(sorted.size() - 1))];
    };
    std::cout << fan_out << "\t" << at(plain, 0.5) << "\t" << at(plain, 0.99)
              << "\t" << at(hedged, 0.5) << "\t" << at(hedged, 0.99) << "\t"
              << 100.0 * static_cast<double>(hedges) /
                     (static_cast<double>(fan_out) * kQueries)
              << "\n";
  }
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Slopes for docs/CAPACITY.md", ' ', "0.1.0");
  TCLAP::UnlabeledValueArg<std::string> what("what", "What to measure", true,
                                             "", "COMMAND", command);
  TCLAP::ValueArg<int> port("", "base-port", "First port", false, 30'000,
                            "PORT", command);
  TCLAP::ValueArg<int> upstreams("", "upstreams", "Upstreams", false, 119, "N",
                                 command);
  TCLAP::ValueArg<int> wanted("", "wanted", "Claims asked for", false, 0, "N",
                              command);
  TCLAP::MultiArg<int> daemons("", "daemons", "Daemons", false, "N", command);
  command.parse(argc, argv);
  InitializeHttpThreads(2);
  ConfigureLogging(LogLevel::kError, "bench");
  if (what.getValue() == "settings") {
    const std::vector<int> all{100, 300, 600, 1'100, 2'200, 4'400};
    BenchSettings(upstreams.isSet() ? std::vector<int>{upstreams.getValue()}
                                    : all);
  }
  if (what.getValue() == "table") {
    std::vector<int> sizes = daemons.getValue();
    if (sizes.empty()) sizes = {9, 50, 500};
    for (int size : sizes) BenchTable(size);
  }
  if (what.getValue() == "relay") BenchRelay(port.getValue());
  if (what.getValue() == "gossip") BenchGossip();
  if (what.getValue() == "tail") BenchTail();
  if (what.getValue() == "control") {
    std::vector<int> sizes = daemons.getValue();
    if (sizes.empty()) sizes = {9, 25, 50, 100};
    BenchControl(port.getValue(), sizes, upstreams.getValue(),
                 wanted.getValue());
  }
  // nng 1.5 can spin without end when hundreds of sockets that reconnect are
  // closed at once; the process has nothing else to clean up.
  std::cout.flush();
  std::_Exit(0);
}

}  // namespace
}  // namespace lacewingknot::testing

int main(int argc, char** argv) {
  return lacewingknot::testing::Run(argc, argv);
}
