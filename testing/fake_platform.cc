#include "testing/fake_platform.h"

#include <nlohmann/json.hpp>

namespace lacewingknot::testing {
namespace {

std::uint64_t NumericParameter(const FakeRequest& request,
                               const std::string& name) {
  const auto parameter = request.parameters.find(name);
  if (parameter == request.parameters.end()) return 0;
  return std::strtoull(parameter->second.c_str(), nullptr, 10);
}

constexpr std::string_view kReadPrefix = "/v1/documents/";
constexpr std::string_view kAdminPrefix = "/admin/documents/";

}  // namespace

FakePlatform::FakePlatform(boost::asio::io_context& io, std::uint16_t port)
    : io_(io),
      server_(io,
              {.port = port,
               .handler =
                   [this](const FakeRequest& request,
                          const std::shared_ptr<FakeConnection>& connection) {
                     OnRequest(request, connection);
                   }}) {}

bool FakePlatform::Put(const std::string& name, Document document) {
  if (document.text.size() > kMaxDocumentBytes) return false;
  if (is_stale_) {
    deferred_documents_[name] = std::move(document);
    return true;
  }
  documents_[name] = std::move(document);
  for (auto poll = long_polls_.begin(); poll != long_polls_.end();) {
    if (poll->name != name) {
      ++poll;
      continue;
    }
    poll->timer->cancel();
    ReplyWithDocument(documents_[name], poll->after, poll->connection);
    poll = long_polls_.erase(poll);
  }
  return true;
}

void FakePlatform::SetStale(bool stale) {
  is_stale_ = stale;
  if (stale) return;
  const auto deferred = std::move(deferred_documents_);
  deferred_documents_.clear();
  for (const auto& [name, document] : deferred) Put(name, document);
}

void FakePlatform::SetDown(bool down) {
  server_.set_down(down);
  if (!down) return;
  for (LongPoll& poll : long_polls_) poll.timer->cancel();
  long_polls_.clear();
}

void FakePlatform::CountCall() {
  ++calls_;
  const TimePoint now = BootClock::now();
  if (now - second_started_at_ > std::chrono::seconds(1)) {
    second_started_at_ = now;
    calls_in_present_second_ = 0;
  }
  peak_calls_per_second_ =
      std::max(peak_calls_per_second_, ++calls_in_present_second_);
}

void FakePlatform::OnRequest(
    const FakeRequest& request,
    const std::shared_ptr<FakeConnection>& connection) {
  if (request.path.starts_with("/admin/")) {
    OnAdminRequest(request, connection);
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
  const std::uint64_t after = NumericParameter(request, "after");
  const auto wait =
      std::chrono::milliseconds(NumericParameter(request, "wait_ms"));
  if (document->second.revision != after || wait.count() == 0) {
    ReplyWithDocument(document->second, after, connection);
    return;
  }
  const auto poll = long_polls_.insert(
      long_polls_.end(),
      {name, after, connection,
       std::make_shared<boost::asio::steady_timer>(io_, wait)});
  const auto timer = poll->timer;
  timer->async_wait([this, poll, timer](boost::system::error_code error) {
    if (error) return;
    ReplyWithDocument(documents_[poll->name], poll->after, poll->connection);
    long_polls_.erase(poll);
  });
}

void FakePlatform::ReplyWithDocument(
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

void FakePlatform::OnAdminRequest(
    const FakeRequest& request,
    const std::shared_ptr<FakeConnection>& connection) {
  constexpr int kTooLarge = 413;
  if (request.path.starts_with(kAdminPrefix)) {
    const bool is_stored =
        Put(request.path.substr(kAdminPrefix.size()),
            {NumericParameter(request, "revision"), request.body});
    connection->Reply({.status = is_stored ? 200 : kTooLarge});
    return;
  }
  if (request.path == "/admin/mode") {
    SetStale(NumericParameter(request, "stale") != 0);
    set_delay(std::chrono::milliseconds(NumericParameter(request, "delay_ms")));
  }
  const nlohmann::json stats = {
      {"calls", calls_},
      {"most_calls_in_a_second", peak_calls_per_second_},
      {"waiting", long_polls_.size()}};
  connection->Reply({.body = stats.dump()});
}

}  // namespace lacewingknot::testing
