#include "lacewingknot/documents/documents.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace lacewingknot {
namespace {

constexpr Duration kMinWait = std::chrono::seconds(1);
constexpr Duration kMaxWait = std::chrono::seconds(60);
constexpr Duration kMaxCallTime = std::chrono::seconds(65);
// Documents watched by each daemon.
constexpr std::size_t kDocuments = 2;

constexpr Duration kFailurePause = std::chrono::milliseconds(200);
constexpr int kMaxFailureDoublings = 3;
// A pause after each reply, so that a platform that answers at once is not
// asked in a tight loop.
constexpr Duration kReplyPause = std::chrono::milliseconds(20);

constexpr int kHttpOk = 200;
constexpr int kHttpNotModified = 304;

std::uint64_t RevisionOf(const ClientReply& reply) {
  const auto header = reply.headers.find("X-Revision");
  std::uint64_t revision = 0;
  if (header == reply.headers.end()) return revision;
  const std::string& text = header->second;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  return revision;
}

}  // namespace

Result<VmList> ParseVmList(const std::string& text) {
  try {
    const auto document = nlohmann::json::parse(text);
    VmList list;
    list.revision = document.at("revision").get<std::uint64_t>();
    for (const auto& vm : document.at("vms")) {
      list.vms.push_back({.id = vm.at("id").get<std::string>(),
                          .data_centre = vm.at("data_centre"),
                          .peer_address = vm.value("peer_address", ""),
                          .upstream = vm.value("upstream", ""),
                          .leaving = vm.value("state", "live") == "leaving"});
    }
    return list;
  } catch (const nlohmann::json::exception& error) {
    return Error{ErrorType::kInvalidSettings, error.what()};
  }
}

Duration WatchWait(std::size_t fleet_size, std::int64_t reads_per_second) {
  const Duration wait = std::chrono::seconds(1) *
                        static_cast<std::int64_t>(fleet_size * kDocuments) /
                        std::max<std::int64_t>(reads_per_second, 1);
  return std::clamp(wait, kMinWait, kMaxWait);
}

DocumentWatch::DocumentWatch(boost::asio::io_context& io, Options options)
    : io_(io), options_(std::move(options)), timer_(io) {
  client_ = std::make_unique<HttpClient>(options_.address, kMaxCallTime);
}

DocumentWatch::~DocumentWatch() = default;

void DocumentWatch::Start() { Call(); }

void DocumentWatch::Call() {
  waited_ = options_.wait();
  const std::string target = "/v1/documents/" + options_.name + "?after=" +
                             std::to_string(options_.held_revision()) +
                             "&wait_ms=" + std::to_string(ToMillis(waited_));
  const TimePoint began_at = options_.clock();
  client_->Send("GET", target, "",
                [this, began_at, alive = std::weak_ptr(alive_),
                 &io = io_](Result<ClientReply> reply) {
                  boost::asio::post(io, [this, began_at, alive,
                                         reply = std::move(reply)]() mutable {
                    if (!alive.expired()) OnReply(std::move(reply), began_at);
                  });
                });
}

void DocumentWatch::OnReply(Result<ClientReply> reply, TimePoint began_at) {
  const bool answered = reply && (reply.value().status == kHttpOk ||
                                  reply.value().status == kHttpNotModified);
  options_.on_read(answered);
  if (!answered) {
    const int doublings = std::min(failures_++, kMaxFailureDoublings);
    CallAfter(kFailurePause * (1 << doublings));
    return;
  }
  failures_ = 0;
  if (reply.value().status == kHttpOk) {
    options_.on_document(reply.value().body, began_at);
  } else {
    // The platform answers 304 only after the whole wait, so it held this
    // revision at least until then, however long the reply took to be seen.
    const TimePoint held_until = std::min(began_at + waited_, options_.clock());
    options_.on_confirmed(RevisionOf(reply.value()), held_until);
  }
  CallAfter(kReplyPause);
}

void DocumentWatch::CallAfter(Duration pause) {
  timer_.expires_after(pause);
  timer_.async_wait(
      [this, alive = std::weak_ptr(alive_)](boost::system::error_code error) {
        if (!error && !alive.expired()) Call();
      });
}

}  // namespace lacewingknot
