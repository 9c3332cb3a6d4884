#include "testing/fake_platform.h"

#include <nlohmann/json.hpp>

namespace lacewingknot::testing {
namespace {

std::uint64_t Number(const FakeRequest& request, const std::string& name) {
  const auto at = request.parameters.find(name);
  if (at == request.parameters.end()) return 0;
  return std::strtoull(at->second.c_str(), nullptr, 10);
}

constexpr std::string_view kReadPrefix = "/v1/documents/";
constexpr std::string_view kAdminPrefix = "/admin/documents/";

}  // namespace

FakePlatform::FakePlatform(boost::asio::io_context& io, std::uint16_t port)
    : io_(io),
      server_(io,
              {.port = port,
               .handler = [this](const FakeRequest& request,
                                 const std::shared_ptr<FakeConnection>& to) {
                 OnRequest(request, to);
               }}) {}

bool FakePlatform::Put(const std::string& name, Document document) {
  if (document.text.size() > kMaxDocumentBytes) return false;
  if (stale_) {
    unseen_[name] = std::move(document);
    return true;
  }
  documents_[name] = std::move(document);
  for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
    if (waiter->name != name) {
      ++waiter;
      continue;
    }
    waiter->timer->cancel();
    ReplyWith(documents_[name], waiter->after, waiter->connection);
    waiter = waiters_.erase(waiter);
  }
  return true;
}

void FakePlatform::SetStale(bool stale) {
  stale_ = stale;
  if (stale) return;
  const auto unseen = std::move(unseen_);
  unseen_.clear();
  for (const auto& [name, document] : unseen) Put(name, document);
}

void FakePlatform::SetDown(bool down) {
  server_.set_down(down);
  if (!down) return;
  for (Waiter& waiter : waiters_) waiter.timer->cancel();
  waiters_.clear();
}

void FakePlatform::CountCall() {
  ++calls_;
  const TimePoint now = BootClock::now();
  if (now - second_began_at_ > std::chrono::seconds(1)) {
    second_began_at_ = now;
    calls_in_second_ = 0;
  }
  most_in_second_ = std::max(most_in_second_, ++calls_in_second_);
}

void FakePlatform::OnRequest(
    const FakeRequest& request,
    const std::shared_ptr<FakeConnection>& connection) {
  if (request.path.starts_with("/admin/")) {
    OnAdmin(request, connection);
    return;
  }
  CountCall();
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay_);
  timer->async_wait([this, timer, request, connection](auto) {
    OnRead(request, connection);
  });
}

void FakePlatform::OnRead(const FakeRequest& request,
                          const std::shared_ptr<FakeConnection>& connection) {
  const std::string name =
      request.path.substr(std::min(kReadPrefix.size(), request.path.size()));
  const auto document = documents_.find(name);
  constexpr int kNotFound = 404;
  if (document == documents_.end()) {
    connection->Reply({.status = kNotFound});
    return;
  }
  const std::uint64_t after = Number(request, "after");
  const auto wait = std::chrono::milliseconds(Number(request, "wait_ms"));
  if (document->second.revision != after || wait.count() == 0) {
    ReplyWith(document->second, after, connection);
    return;
  }
  const auto waiter = waiters_.insert(
      waiters_.end(), {name, after, connection,
                       std::make_shared<boost::asio::steady_timer>(io_, wait)});
  const auto timer = waiter->timer;
  timer->async_wait([this, waiter, timer](boost::system::error_code error) {
    if (error) return;
    ReplyWith(documents_[waiter->name], waiter->after, waiter->connection);
    waiters_.erase(waiter);
  });
}

void FakePlatform::ReplyWith(
    const Document& document, std::uint64_t after,
    const std::shared_ptr<FakeConnection>& connection) {
  constexpr int kNotModified = 304;
  FakeReply reply;
  reply.headers = {{"X-Revision", std::to_string(document.revision)}};
  if (document.revision == after) {
    reply.status = kNotModified;
  } else {
    reply.body = document.text;
  }
  connection->Reply(reply);
}

void FakePlatform::OnAdmin(const FakeRequest& request,
                           const std::shared_ptr<FakeConnection>& connection) {
  constexpr int kTooLarge = 413;
  if (request.path.starts_with(kAdminPrefix)) {
    const bool taken = Put(request.path.substr(kAdminPrefix.size()),
                           {Number(request, "revision"), request.body});
    connection->Reply({.status = taken ? 200 : kTooLarge});
    return;
  }
  if (request.path == "/admin/mode") {
    SetStale(Number(request, "stale") != 0);
    set_delay(std::chrono::milliseconds(Number(request, "delay_ms")));
  }
  const nlohmann::json stats = {{"calls", calls_},
                                {"most_calls_in_a_second", most_in_second_},
                                {"waiting", waiters_.size()}};
  connection->Reply({.body = stats.dump()});
}

}  // namespace lacewingknot::testing
