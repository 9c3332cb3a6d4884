// Stand-ins for the cases of this review: requesters, backends and the
// platform's store on loopback addresses, and the daemons as real processes.
//
// Everything runs on the thread that calls World::RunFor(). A World ends the
// processes that it started, by their ids, when it is destroyed.
//
// Not thread-safe.

#ifndef REVIEW_STANDINS_HARNESS_H_
#define REVIEW_STANDINS_HARNESS_H_

#include <sys/types.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingknot::review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Json = nlohmann::json;

// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// A request or an answer.
struct HttpMessage {
  std::string start_line;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  // Returns the value of a header; empty if it is absent.
  std::string header(const std::string& lower_name) const;
  // Status of an answer; 0 if the message is none.
  int status() const;
  // Path and query of a request.
  std::string target() const;
};

// Removes the first complete message from `bytes`; empty if there is none yet.
std::optional<HttpMessage> ExtractMessage(std::string& bytes);

// Returns an answer as bytes. `headers` are lines that end with "\r\n".
std::string MakeAnswer(int status, const std::string& headers,
                       const std::string& body);

// One connection that carries messages in both directions.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Callback = std::function<void(const std::shared_ptr<Connection>&,
                                      const HttpMessage& message)>;
  using ClosedCallback =
      std::function<void(const std::shared_ptr<Connection>&)>;

  Connection(boost::asio::ip::tcp::socket socket, Callback on_message,
             ClosedCallback on_closed);

  void Start();
  void Write(std::string bytes);
  // Closes the connection with a reset.
  void Reset();
  void Close();
  bool is_open() const { return is_open_; }
  // A number that is unique in this process.
  std::uint64_t number() const { return number_; }
  // Free for the owner's use: bytes to send ahead of the next answer.
  std::string late_bytes;

 private:
  void Read();
  void WriteNext();

  boost::asio::ip::tcp::socket socket_;
  Callback on_message_;
  ClosedCallback on_closed_;
  std::array<char, 16384> chunk_{};
  std::string received_;
  std::deque<std::string> unsent_;
  bool is_open_ = true;
  std::uint64_t number_;
};

// A listener whose connections can be reset, as by a crash, and that can start
// again on the same port.
class Server {
 public:
  Server(boost::asio::io_context& io, const std::string& ip,
         Connection::Callback on_message);

  void Start();
  // Resets all connections; new ones are refused until Start().
  void Crash();
  std::string address() const;

 private:
  void Accept();

  boost::asio::ip::tcp::endpoint endpoint_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Connection::Callback on_message_;
  std::set<std::shared_ptr<Connection>> connections_;
};

// The platform's store: range reads and watches. Each machine has an address of
// its own for it, so that the store can turn single machines away.
class Store {
 public:
  Store(boost::asio::io_context& io, const std::string& ip, int machines);

  void Put(const std::string& key, const Json& value);
  void Delete(const std::string& key);
  // IP:PORT for `machine`.
  std::string address(int machine) const;
  // Answers all calls of `machine` with 503 from now on, or serves it again.
  void TurnAway(int machine, bool is_turned_away);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
  };
  struct Change {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool is_deleted = false;
  };
  struct Watch {
    std::shared_ptr<Connection> connection;
    std::uint64_t after = 0;
    std::uint64_t number = 0;
    int machine = 0;
  };

  void OnRequest(int machine, const std::shared_ptr<Connection>& connection,
                 const HttpMessage& request);
  void AnswerRange(const std::shared_ptr<Connection>& connection,
                   const std::map<std::string, std::string>& parameters);
  bool AnswerWatch(const Watch& watch, bool is_due);
  void AnswerWatches();

  boost::asio::io_context& io_;
  std::vector<std::unique_ptr<Server>> servers_;  // By machine.
  std::set<int> turned_away_;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  std::list<Watch> watches_;
  std::uint64_t revision_ = 1;
  std::uint64_t last_watch_ = 0;
};

// Everything that a case needs: its record, addresses, store and daemons.
class World {
 public:
  struct Options {
    std::string daemon;     // Path of the daemon's program.
    std::string directory;  // Temporary folder for settings and logs.
    std::string record;     // Path of record.txt.
    int daemons = 6;        // Up to 6: three, two and one in three zones.
  };

  explicit World(Options options);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Writes a line with the time since the start to the record.
  void Note(const std::string& text);

  boost::asio::io_context& io() { return io_; }
  Store& store() { return store_; }
  // Returns an address of this case for backends.
  const std::string& backend_ip() const { return backend_ip_; }
  // Returns the name of a zone, 0 to 2.
  static std::string ZoneOf(int index);

  void StartDaemons();
  int daemons() const { return options_.daemons; }
  // IP:PORT at which daemon `index` takes requests.
  std::string front_address(int index) const;
  // Whether all daemons answer their readiness checks with 200 in time.
  bool WaitUntilReady();
  // Whether all daemons still run.
  bool AllRun();

  void RunFor(Millis duration);
  void After(Millis delay, std::function<void()> run);
  Millis now() const;

  // Connects to `address`, IP:PORT; `on_connected` gets null on a failure.
  void Connect(const std::string& address, Connection::Callback on_message,
               Connection::ClosedCallback on_closed,
               std::function<void(std::shared_ptr<Connection>)> on_connected);

 private:
  static std::string ZoneOfDaemon(int index);
  std::string DaemonIp(int index) const;
  void StartDaemon(int index);

  Options options_;
  Clock::time_point started_ = Clock::now();
  std::ofstream record_;
  std::string network_;
  std::string backend_ip_;
  int first_port_ = 0;
  boost::asio::io_context io_{1};
  Store store_;
  std::vector<pid_t> processes_;
};

// Requesters that keep their connections. Each connection carries one request
// at a time; a request without a free connection opens a new one.
class Requesters {
 public:
  struct Request {
    std::string address;  // IP:PORT of the daemon.
    std::string method = "GET";
    std::string target;
    std::string id;
    Millis deadline{};
    std::string body;
    // Receives the answer; null if the connection ended without one or the
    // deadline passed.
    std::function<void(const HttpMessage* answer)> on_end;
  };

  explicit Requesters(World& world) : world_(world) {}

  void Send(const Request& request);

 private:
  struct Exchange {
    std::shared_ptr<Connection> connection;
    Request request;
    bool has_ended = false;
  };

  void SendOn(const std::shared_ptr<Connection>& connection,
              const std::shared_ptr<Exchange>& exchange);
  void OnAnswer(const std::shared_ptr<Connection>& connection,
                const HttpMessage& answer);
  void OnClosed(const std::shared_ptr<Connection>& connection);

  World& world_;
  std::map<std::string, std::vector<std::shared_ptr<Connection>>> free_;
  std::map<std::uint64_t, std::shared_ptr<Exchange>> running_;
};

// Runs `run` with the options of the command line: DAEMON DIRECTORY RECORD.
// Further arguments are the program's own.
// Reads from the environment whether the trouble is injected (TROUBLE=0: no).
int RunCase(int argc, char** argv,
            const std::function<int(const World::Options& options,
                                    bool has_trouble)>& run);

}  // namespace lacewingknot::review

#endif  // REVIEW_STANDINS_HARNESS_H_
