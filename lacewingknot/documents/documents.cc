#include "lacewingknot/documents/documents.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace lacewingknot {
namespace {

constexpr Duration kMinWait = std::chrono::seconds(1);
constexpr Duration kMaxWait = std::chrono::seconds(60);
// Time, added to the wait of a poll, after which the poll has failed.
constexpr Duration kReplyTimeout = std::chrono::seconds(3);
constexpr std::size_t kDocumentsPerDaemon = 2;

constexpr Duration kInitialBackoff = std::chrono::milliseconds(200);
constexpr int kMaxBackoffDoublings = 3;
// Delay between a reply and the next poll. Prevents a tight loop against a
// platform that replies to every poll at once.
constexpr Duration kPollDelay = std::chrono::milliseconds(20);

constexpr int kHttpOk = 200;
constexpr int kHttpNotModified = 304;

// Returns 0 if the reply has no X-Revision header that starts with a number.
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
      list.vms.push_back(
          {.id = vm.at("id").get<std::string>(),
           .data_centre = vm.at("data_centre"),
           .peer_address = vm.value("peer_address", ""),
           .upstream = vm.value("upstream", ""),
           .is_leaving = vm.value("state", "live") == "leaving"});
    }
    return list;
  } catch (const nlohmann::json::exception& error) {
    return Error{ErrorType::kInvalidSettings, error.what()};
  }
}

Duration LongPollWait(std::size_t fleet_size, std::int64_t reads_per_second) {
  const Duration wait =
      std::chrono::seconds(1) *
      static_cast<std::int64_t>(fleet_size * kDocumentsPerDaemon) /
      std::max<std::int64_t>(reads_per_second, 1);
  return std::clamp(wait, kMinWait, kMaxWait);
}

DocumentWatch::DocumentWatch(boost::asio::io_context& io, Options options)
    : io_(io), options_(std::move(options)), timer_(io) {}

DocumentWatch::~DocumentWatch() = default;

void DocumentWatch::Start() { SendPoll(); }

void DocumentWatch::SendPoll() {
  const Duration wait = options_.long_poll_wait();
  if (!client_ || wait != poll_wait_) {
    poll_wait_ = wait;
    client_ =
        std::make_unique<HttpClient>(options_.address, wait + kReplyTimeout);
  }
  const std::string target = "/v1/documents/" + options_.name + "?after=" +
                             std::to_string(options_.held_revision()) +
                             "&wait_ms=" + std::to_string(ToMillis(poll_wait_));
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
  options_.on_poll_finished(answered);
  if (!answered) {
    const int doublings = std::min(failures_++, kMaxBackoffDoublings);
    SendPollAfter(kInitialBackoff * (1 << doublings));
    return;
  }
  failures_ = 0;
  if (reply.value().status == kHttpOk) {
    options_.on_document(reply.value().body, began_at);
  } else {
    // The platform replies with 304 only after the whole wait, so it held this
    // revision at least until the end of the wait, however late the reply was
    // received.
    const TimePoint held_until =
        std::min(began_at + poll_wait_, options_.clock());
    options_.on_confirmed(RevisionOf(reply.value()), held_until);
  }
  SendPollAfter(kPollDelay);
}

void DocumentWatch::SendPollAfter(Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait(
      [this, alive = std::weak_ptr(alive_)](boost::system::error_code error) {
        if (!error && !alive.expired()) SendPoll();
      });
}

}  // namespace lacewingknot
