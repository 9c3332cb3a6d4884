#include "review/standins/harness.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <cctype>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <utility>

namespace lacewingknot::review {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string EncodeBase64(const std::string& bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr unsigned kMask = 63;
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t j = i; j < i + 3; ++j) {
      group = (group << 8) |
              (j < bytes.size() ? static_cast<unsigned char>(bytes[j]) : 0U);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      const bool is_padding = i + digit > bytes.size();
      text += is_padding ? '=' : kDigits[(group >> (18 - 6 * digit)) & kMask];
    }
  }
  return text;
}

std::map<std::string, std::string> ParseParameters(const std::string& target) {
  std::map<std::string, std::string> parameters;
  const auto start = target.find('?');
  std::string rest = start == std::string::npos ? "" : target.substr(start + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const std::string pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    if (equals != std::string::npos) {
      parameters[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
  }
  return parameters;
}

std::uint64_t ToNumber(const std::map<std::string, std::string>& parameters,
                       const std::string& name) {
  const auto found = parameters.find(name);
  return found == parameters.end()
             ? 0
             : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::uint64_t NextConnectionNumber() {
  static std::uint64_t last = 0;
  return ++last;
}

tcp::endpoint ToEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(
              std::strtoul(address.c_str() + colon + 1, nullptr, 10))};
}

}  // namespace

std::string HttpMessage::header(const std::string& lower_name) const {
  const auto found = headers.find(lower_name);
  return found == headers.end() ? "" : found->second;
}

int HttpMessage::status() const {
  constexpr std::size_t kStatusAt = 9;  // After "HTTP/1.1 ".
  if (start_line.compare(0, 5, "HTTP/") != 0) return 0;
  return static_cast<int>(
      std::strtol(start_line.c_str() + kStatusAt, nullptr, 10));
}

std::string HttpMessage::target() const {
  const auto begin = start_line.find(' ') + 1;
  return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

std::optional<HttpMessage> ExtractMessage(std::string& bytes) {
  const auto head_end = bytes.find(kHeadEnd);
  if (head_end == std::string::npos) return std::nullopt;
  HttpMessage message;
  std::size_t at = bytes.find(kLineEnd);
  message.start_line = bytes.substr(0, at);
  while (at < head_end) {
    const std::size_t begin = at + kLineEnd.size();
    at = bytes.find(kLineEnd, begin);
    const std::string line = bytes.substr(begin, at - begin);
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](char c) {
      return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] =
        value == std::string::npos ? "" : line.substr(value);
  }
  const std::size_t length =
      std::strtoull(message.header("content-length").c_str(), nullptr, 10);
  const std::size_t body = head_end + kHeadEnd.size();
  if (bytes.size() < body + length) return std::nullopt;
  message.body = bytes.substr(body, length);
  bytes.erase(0, body + length);
  return message;
}

std::string MakeAnswer(int status, const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Connection::Connection(tcp::socket socket, Callback on_message,
                       ClosedCallback on_closed)
    : socket_(std::move(socket)),
      on_message_(std::move(on_message)),
      on_closed_(std::move(on_closed)),
      number_(NextConnectionNumber()) {}

void Connection::Start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  Read();
}

void Connection::Read() {
  socket_.async_read_some(
      asio::buffer(chunk_),
      [self = shared_from_this()](error_code error, std::size_t bytes) {
        if (!self->is_open_) return;
        if (error) {
          self->Close();
          return;
        }
        self->received_.append(self->chunk_.data(), bytes);
        while (auto message = ExtractMessage(self->received_)) {
          self->on_message_(self, *message);
          if (!self->is_open_) return;
        }
        self->Read();
      });
}

void Connection::Write(std::string bytes) {
  if (!is_open_) return;
  unsent_.push_back(std::move(bytes));
  if (unsent_.size() == 1) WriteNext();
}

void Connection::WriteNext() {
  asio::async_write(socket_, asio::buffer(unsent_.front()),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (!self->is_open_) return;
                      if (error) {
                        self->Close();
                        return;
                      }
                      self->unsent_.pop_front();
                      if (!self->unsent_.empty()) self->WriteNext();
                    });
}

void Connection::Reset() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void Connection::Close() {
  if (!is_open_) return;
  is_open_ = false;
  error_code ignored;
  socket_.close(ignored);
  if (on_closed_) on_closed_(shared_from_this());
}

Server::Server(asio::io_context& io, const std::string& ip,
               Connection::Callback on_message)
    : endpoint_(asio::ip::make_address(ip), 0),
      acceptor_(io),
      on_message_(std::move(on_message)) {
  Start();
}

void Server::Start() {
  acceptor_.open(endpoint_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint_);
  acceptor_.listen();
  endpoint_ = acceptor_.local_endpoint();
  Accept();
}

void Server::Crash() {
  error_code ignored;
  acceptor_.close(ignored);
  const auto open = std::exchange(connections_, {});
  for (const auto& connection : open) connection->Reset();
}

std::string Server::address() const {
  return endpoint_.address().to_string() + ":" +
         std::to_string(endpoint_.port());
}

void Server::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    auto connection = std::make_shared<Connection>(
        std::move(socket), on_message_,
        [this](const std::shared_ptr<Connection>& closed) {
          connections_.erase(closed);
        });
    connections_.insert(connection);
    connection->Start();
    Accept();
  });
}

Store::Store(asio::io_context& io, const std::string& ip, int machines)
    : io_(io) {
  for (int machine = 0; machine < machines; ++machine) {
    servers_.push_back(std::make_unique<Server>(
        io, ip,
        [this, machine](const std::shared_ptr<Connection>& connection,
                        const HttpMessage& request) {
          OnRequest(machine, connection, request);
        }));
  }
}

std::string Store::address(int machine) const {
  return servers_.at(static_cast<std::size_t>(machine))->address();
}

void Store::TurnAway(int machine, bool is_turned_away) {
  if (!is_turned_away) {
    turned_away_.erase(machine);
    return;
  }
  turned_away_.insert(machine);
  // A watch that is waiting may be cut.
  std::erase_if(watches_, [&](const Watch& watch) {
    if (watch.machine != machine) return false;
    watch.connection->Reset();
    return true;
  });
}

void Store::Put(const std::string& key, const Json& value) {
  items_[key] = {.value = value.dump(), .revision = ++revision_};
  changes_.push_back(
      {.key = key, .value = items_[key].value, .revision = revision_});
  AnswerWatches();
}

void Store::Delete(const std::string& key) {
  if (items_.erase(key) == 0) return;
  changes_.push_back(
      {.key = key, .value = "", .revision = ++revision_, .is_deleted = true});
  AnswerWatches();
}

void Store::OnRequest(int machine,
                      const std::shared_ptr<Connection>& connection,
                      const HttpMessage& request) {
  if (turned_away_.count(machine) > 0) {
    connection->Write(MakeAnswer(503, "", ""));
    return;
  }
  const std::string target = request.target();
  const auto parameters = ParseParameters(target);
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/lacewingknot/kv-range") {
    AnswerRange(connection, parameters);
    return;
  }
  if (path != "/lacewingknot/kv-watch") {
    connection->Write(MakeAnswer(404, "", ""));
    return;
  }
  const Watch watch{.connection = connection,
                    .after = ToNumber(parameters, "after"),
                    .number = ++last_watch_,
                    .machine = machine};
  if (AnswerWatch(watch, false)) return;
  watches_.push_back(watch);
  auto timer = std::make_shared<asio::steady_timer>(
      io_, Millis(ToNumber(parameters, "wait_ms")));
  timer->async_wait([this, timer, number = watch.number](error_code) {
    std::erase_if(watches_, [&](const Watch& waiting) {
      return waiting.number == number && AnswerWatch(waiting, true);
    });
  });
}

void Store::AnswerRange(const std::shared_ptr<Connection>& connection,
                        const std::map<std::string, std::string>& parameters) {
  constexpr std::size_t kPageSize = 500;
  const auto after = parameters.find("after");
  auto item = after == parameters.end() ? items_.begin()
                                        : items_.upper_bound(after->second);
  Json list = Json::array();
  for (; item != items_.end() && list.size() < kPageSize; ++item) {
    list.push_back({{"key", item->first},
                    {"value", EncodeBase64(item->second.value)},
                    {"revision", item->second.revision},
                    {"created", item->second.revision},
                    {"lease", 0}});
  }
  const Json answer{{"items", list},
                    {"has_more", item != items_.end()},
                    {"current_rev", revision_}};
  connection->Write(
      MakeAnswer(200, "Content-Type: application/json\r\n", answer.dump()));
}

bool Store::AnswerWatch(const Watch& watch, bool is_due) {
  Json events = Json::array();
  for (const Change& change : changes_) {
    if (change.revision <= watch.after) continue;
    Json event{{"key", change.key}, {"revision", change.revision}};
    if (change.is_deleted) {
      event["deleted"] = true;
    } else {
      event["value"] = EncodeBase64(change.value);
      event["created"] = change.revision;
      event["lease"] = 0;
    }
    events.push_back(std::move(event));
  }
  if (events.empty() && !is_due) return false;
  const Json answer{{"events", events}, {"current_rev", revision_}};
  watch.connection->Write(
      MakeAnswer(200, "Content-Type: application/json\r\n", answer.dump()));
  return true;
}

void Store::AnswerWatches() {
  std::erase_if(watches_,
                [&](const Watch& watch) { return AnswerWatch(watch, false); });
}

namespace {

// The first three bytes of the loopback addresses of this process's case.
std::string ChooseNetwork() {
  constexpr int kNetworks = 200;
  const int number = getpid();
  return "127." + std::to_string(20 + number % kNetworks) + "." +
         std::to_string(20 + number / kNetworks % kNetworks) + ".";
}

// Returns a port from which `count` ports on are free on `ip`.
int FindPorts(const std::string& ip, int count) {
  constexpr int kFirst = 21'000;
  constexpr int kLast = 31'000;
  for (int first = kFirst + getpid() % 1'000; first < kLast; first += count) {
    bool is_free = true;
    for (int port = first; port < first + count; ++port) {
      asio::io_context io;
      tcp::acceptor probe(io);
      error_code error;
      probe.open(tcp::v4(), error);
      probe.bind({asio::ip::make_address(ip), static_cast<std::uint16_t>(port)},
                 error);
      is_free = is_free && !error;
    }
    if (is_free) return first;
  }
  return 0;
}

constexpr int kFrontPort = 0;
constexpr int kReadyPort = 1;
constexpr int kControlPort = 2;
constexpr int kMetricsPort = 3;
constexpr int kGossipPort = 4;
constexpr int kPortsPerDaemon = 5;

}  // namespace

World::World(Options options)
    : options_(std::move(options)),
      record_(options_.record),
      network_(ChooseNetwork()),
      backend_ip_(network_ + "100"),
      first_port_(FindPorts(network_ + "1", kPortsPerDaemon)),
      store_(io_, network_ + "200", options_.daemons) {}

World::~World() {
  for (const pid_t process : processes_) kill(process, SIGKILL);
  for (const pid_t process : processes_) waitpid(process, nullptr, 0);
}

Millis World::now() const {
  return std::chrono::duration_cast<Millis>(Clock::now() - started_);
}

void World::Note(const std::string& text) {
  record_ << now().count() << " ms  " << text << "\n";
}

std::string World::ZoneOf(int index) {
  constexpr std::array<std::string_view, 3> kZones{"zone-a", "zone-b",
                                                   "zone-c"};
  return std::string(kZones.at(static_cast<std::size_t>(index) % 3));
}

std::string World::ZoneOfDaemon(int index) {
  constexpr std::array<int, 6> kZones{0, 0, 0, 1, 1, 2};
  return ZoneOf(kZones.at(static_cast<std::size_t>(index)));
}

std::string World::DaemonIp(int index) const {
  return network_ + std::to_string(index + 1);
}

std::string World::front_address(int index) const {
  return DaemonIp(index) + ":" + std::to_string(first_port_ + kFrontPort);
}

void World::StartDaemon(int index) {
  const std::string name = "front-" + std::to_string(index + 1);
  const std::string file = options_.directory + "/" + name + ".toml";
  const auto address = [&](int daemon, int port) {
    return DaemonIp(daemon) + ":" + std::to_string(first_port_ + port);
  };
  std::string peers;
  for (int seed = 0; seed < std::min(options_.daemons, 3); ++seed) {
    if (seed > 0) peers += ",";
    peers += "\"" + address(seed, kControlPort) + "\"";
  }
  // As deploy/settings.toml.template, with the bounds of the small sites.
  std::ofstream(file) << "vm = \"" << name << "\"\ndata_centre = \""
                      << ZoneOfDaemon(index) << "\"\nlisten = \""
                      << address(index, kFrontPort)
                      << "\"\nreadiness_listen = \""
                      << address(index, kReadyPort) << "\"\ncontrol_listen = \""
                      << address(index, kControlPort)
                      << "\"\nmetrics_listen = \""
                      << address(index, kMetricsPort)
                      << "\"\ngossip_listen = \"" << address(index, kGossipPort)
                      << "\"\npeers = [" << peers << "]\nstore = \""
                      << store_.address(index)
                      << "\"\nstore_max_staleness_ms = 4000\n"
                      << "changes_in_force_ms = 3000\nlog_level = \"info\"\n"
                      << "processor_share = 0.25\n[extra_load]\n"
                      << "ratio = 0.2\nattempts = 52\n[stop]\n"
                      << "grace_seconds = 6\n";
  const std::string log = options_.directory + "/" + name + ".log";
  const pid_t process = fork();
  if (process == 0) {
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // The daemon must not hold the listeners of this process open.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    // It ends with this process, also if this process is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execl(options_.daemon.c_str(), options_.daemon.c_str(), "--edge",
          "--settings", file.c_str(), nullptr);
    _exit(127);
  }
  processes_.push_back(process);
  Note("start " + name + ", front " + address(index, kFrontPort));
}

void World::StartDaemons() {
  for (int i = 0; i < options_.daemons; ++i) StartDaemon(i);
}

bool World::WaitUntilReady() {
  constexpr Millis kLongest{10'000};
  constexpr Millis kPoll{200};
  std::set<int> ready;
  const Millis end = now() + kLongest;
  while (now() < end && ready.size() < processes_.size()) {
    for (int i = 0; i < options_.daemons; ++i) {
      Connect(
          DaemonIp(i) + ":" + std::to_string(first_port_ + kReadyPort),
          [&ready, i](const std::shared_ptr<Connection>& connection,
                      const HttpMessage& answer) {
            if (answer.status() == 200) ready.insert(i);
            connection->Close();
          },
          nullptr,
          [](const std::shared_ptr<Connection>& connection) {
            if (!connection) return;
            connection->Write(
                "GET /lacewingknot/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
          });
    }
    RunFor(kPoll);
  }
  // Answers that are still under way refer to `ready`.
  RunFor(kPoll);
  return ready.size() == processes_.size();
}

bool World::AllRun() {
  return std::all_of(processes_.begin(), processes_.end(), [](pid_t process) {
    return waitpid(process, nullptr, WNOHANG) == 0;
  });
}

void World::RunFor(Millis duration) {
  io_.restart();
  const auto work = asio::make_work_guard(io_);
  io_.run_for(duration);
}

void World::After(Millis delay, std::function<void()> run) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, run = std::move(run)](error_code) { run(); });
}

void World::Connect(
    const std::string& address, Connection::Callback on_message,
    Connection::ClosedCallback on_closed,
    std::function<void(std::shared_ptr<Connection>)> on_connected) {
  auto socket = std::make_shared<tcp::socket>(io_);
  socket->async_connect(
      ToEndpoint(address),
      [socket, on_message = std::move(on_message),
       on_closed = std::move(on_closed),
       on_connected = std::move(on_connected)](error_code error) {
        if (error) {
          on_connected(nullptr);
          return;
        }
        auto connection = std::make_shared<Connection>(std::move(*socket),
                                                       on_message, on_closed);
        connection->Start();
        on_connected(connection);
      });
}

void Requesters::Send(const Request& request) {
  const auto exchange =
      std::make_shared<Exchange>(Exchange{.request = request});
  auto& free = free_[request.address];
  std::erase_if(free, [](const std::shared_ptr<Connection>& connection) {
    return !connection->is_open();
  });
  world_.After(request.deadline, [exchange] {
    if (exchange->has_ended) return;
    if (exchange->connection) {
      exchange->connection->Close();
    } else {
      exchange->has_ended = true;
      exchange->request.on_end(nullptr);
    }
  });
  if (!free.empty()) {
    const auto connection = free.back();
    free.pop_back();
    SendOn(connection, exchange);
    return;
  }
  world_.Connect(
      request.address,
      [this](const std::shared_ptr<Connection>& connection,
             const HttpMessage& answer) { OnAnswer(connection, answer); },
      [this](const std::shared_ptr<Connection>& connection) {
        OnClosed(connection);
      },
      [this, exchange](const std::shared_ptr<Connection>& connection) {
        if (exchange->has_ended) return;
        if (connection) {
          SendOn(connection, exchange);
          return;
        }
        exchange->has_ended = true;
        exchange->request.on_end(nullptr);
      });
}

void Requesters::SendOn(const std::shared_ptr<Connection>& connection,
                        const std::shared_ptr<Exchange>& exchange) {
  exchange->connection = connection;
  running_[connection->number()] = exchange;
  const Request& request = exchange->request;
  std::string bytes =
      request.method + " " + request.target +
      " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + request.id +
      "\r\nDeadline-Remaining: " + std::to_string(request.deadline.count()) +
      "\r\n";
  if (!request.body.empty()) {
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  connection->Write(bytes + "\r\n" + request.body);
}

void Requesters::OnAnswer(const std::shared_ptr<Connection>& connection,
                          const HttpMessage& answer) {
  const auto found = running_.find(connection->number());
  if (found == running_.end()) {
    world_.Note("an answer came that no request waits for");
    return;
  }
  const auto exchange = found->second;
  running_.erase(found);
  if (answer.header("connection") == "close") {
    connection->Close();
  } else {
    free_[exchange->request.address].push_back(connection);
  }
  exchange->has_ended = true;
  exchange->request.on_end(&answer);
}

void Requesters::OnClosed(const std::shared_ptr<Connection>& connection) {
  const auto found = running_.find(connection->number());
  if (found == running_.end()) return;
  const auto exchange = found->second;
  running_.erase(found);
  exchange->has_ended = true;
  exchange->request.on_end(nullptr);
}

int RunCase(int argc, char** argv,
            const std::function<int(const World::Options& options,
                                    bool has_trouble)>& run) {
  constexpr int kArguments = 4;
  if (argc < kArguments) {
    std::cerr << "usage: " << argv[0]
              << " DAEMON DIRECTORY RECORD [ARGUMENT...]\n";
    return kCouldNotRun;
  }
  const char* const trouble = std::getenv("TROUBLE");
  const bool has_trouble =
      trouble == nullptr || std::string_view(trouble) != "0";
  signal(SIGPIPE, SIG_IGN);
  try {
    return run({.daemon = argv[1], .directory = argv[2], .record = argv[3]},
               has_trouble);
  } catch (const std::exception& error) {
    std::cerr << "could not run: " << error.what() << "\n";
    return kCouldNotRun;
  }
}

}  // namespace lacewingknot::review
