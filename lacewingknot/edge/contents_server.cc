#include "lacewingknot/edge/contents_server.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>
#include <utility>

#include "lacewingknot/edge/contents_client.h"
#include "lacewingknot/edge/internal/contents_link.h"
#include "lacewingknot/edge/internal/listening.h"

namespace lacewingknot::edge {

namespace asio = boost::asio;

namespace {

// Whether a follower with the contents of `request` has what `report` states.
bool HasContents(const ContentsMessage& request, const ContentsUpdate& latest) {
  return request.epoch == latest.epoch &&
         AreSame(request.state, latest.report.state);
}

}  // namespace

ContentsServer::ContentsServer(asio::io_context& io, Options options)
    : options_(std::move(options)), io_(io), acceptor_(io), timer_(io) {}

Result<void> ContentsServer::Start() {
  if (const auto bound = internal::BindAndListen(
          acceptor_, ContentsAddress(options_.gossip_address));
      !bound) {
    return bound.error();
  }
  Accept();
  ScheduleConfirmation();
  return Ok();
}

void ContentsServer::Accept() {
  if (!acceptor_.is_open()) return;
  acceptor_.async_accept([this](boost::system::error_code error,
                                asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      const auto retry = std::make_shared<asio::steady_timer>(
          io_, internal::kAcceptRetryDelay);
      retry->async_wait([this, retry](boost::system::error_code) { Accept(); });
      return;
    }
    // The socket is closed if there are too many followers.
    if (followers_.size() < kMaxFollowers) {
      const std::uint64_t number = next_follower_++;
      Follower& follower = followers_[number];
      follower.link = std::make_shared<internal::ContentsLink>(
          std::move(socket),
          internal::ContentsLink::Options{
              .max_frame_bytes = kMaxContentsRequestBytes,
              .on_message =
                  [this, number](const ContentsMessage& message) {
                    const auto found = followers_.find(number);
                    if (found != followers_.end()) {
                      OnRequest(found->second, message);
                    }
                  },
              .on_closed =
                  [this, number](std::string_view) {
                    followers_.erase(number);
                  }});
      follower.link->Start();
    }
    Accept();
  });
}

void ContentsServer::OnRequest(Follower& follower,
                               const ContentsMessage& request) {
  const bool is_first = !std::exchange(follower.has_asked, true);
  if (!is_first || request.kind != ContentsKind::kRequest) return;
  const TimePoint now = BootClock::now();
  if (!has_contents_) {
    follower.link->Send(std::make_shared<const std::string>(
        EncodeContentsFrame(MakeMessage(ContentsKind::kEmpty, now))));
    return;
  }
  follower.is_in_step = true;
  const StoreVersion known{.epoch = request.epoch,
                           .revision = request.store_revision};
  // A follower that is ahead gets the changes from its revision on.
  const bool is_ahead =
      known.epoch == latest_.epoch && known.revision > latest_.store_revision;
  if (is_ahead || HasContents(request, latest_)) {
    follower.link->Send(std::make_shared<const std::string>(
        EncodeContentsFrame(MakeMessage(ContentsKind::kConfirmation, now))));
    options_.on_sent("confirmation");
  } else if (const FramePtr changes = MakeMissedChanges(known, now)) {
    follower.link->Send(changes);
    options_.on_sent("changes");
  } else if (const FramePtr frame = MakeSnapshot(now)) {
    follower.link->Send(frame);
    options_.on_sent("snapshot");
  }
}

void ContentsServer::Publish(ContentsUpdate update) {
  asio::post(io_, [this, update = std::move(update)]() mutable {
    Apply(std::move(update));
  });
}

void ContentsServer::Stop() {
  asio::post(io_, [this] {
    boost::system::error_code ignored;  // Nothing is accepted any more.
    acceptor_.close(ignored);
    for (auto& [number, follower] : followers_) follower.link->Close();
    followers_.clear();
  });
}

void ContentsServer::Apply(ContentsUpdate update) {
  const TimePoint now = BootClock::now();
  if (!has_contents_ && !update.is_snapshot) return;
  const bool is_first = !std::exchange(has_contents_, true);
  if (followers_.empty()) {
    Adopt(std::move(update));
    return;
  }
  const bool has_changes = !update.items.empty();
  const StoreVersion base{.epoch = latest_.epoch,
                          .revision = latest_.store_revision};
  // A source reads everything again after each loss of the store, mostly to
  // find the same contents.
  const bool is_same = HasContents(
      {.epoch = update.epoch, .state = update.report.state}, latest_);
  const std::string changes =
      update.is_snapshot ? "" : EncodeContentsItems(update.items);
  const Duration items_age = now - update.read_at;
  const bool is_snapshot = update.is_snapshot;
  Adopt(std::move(update));
  if (is_snapshot && (is_first || !is_same)) {
    if (const FramePtr missed = MakeMissedChanges(base, now)) {
      SendToFollowers(missed, "changes");
    } else {
      SendSnapshots(now);
    }
  } else if (has_changes && !is_snapshot) {
    ContentsMessage message = MakeMessage(ContentsKind::kChanges, now);
    message.base_revision = base.revision;
    std::string frame = EncodeContentsFrame(message, changes, items_age);
    if (frame.empty()) {
      SendSnapshots(now);
    } else {
      SendToFollowers(std::make_shared<const std::string>(std::move(frame)),
                      "changes");
    }
  } else {
    SendToFollowers(std::make_shared<const std::string>(EncodeContentsFrame(
                        MakeMessage(ContentsKind::kConfirmation, now))),
                    "confirmation");
  }
}

void ContentsServer::Adopt(ContentsUpdate update) {
  if (update.is_snapshot) {
    RememberMissing(update);
    items_.clear();
  }
  if (update.is_snapshot || !update.items.empty()) encoded_items_ = {};
  for (ContentsItem& item : update.items) {
    if (item.deleted) {
      items_.erase(item.key);
      RememberDeletion(item.key, item.revision);
      continue;
    }
    deletions_.erase(item.key);
    items_[item.key] = {.value = std::move(item.value),
                        .revision = item.revision,
                        .refused = item.refused,
                        .read_at = update.read_at - item.age};
  }
  latest_ = std::move(update);
  latest_.items = {};
}

ContentsItem ContentsServer::MakeItem(const std::string& key, const Item& item,
                                      TimePoint now) {
  return {.key = key,
          .value = item.value,
          .revision = item.revision,
          .refused = item.refused,
          .age = now - item.read_at};
}

void ContentsServer::RememberMissing(const ContentsUpdate& update) {
  const bool is_continued = update.epoch == latest_.epoch &&
                            latest_.store_revision != 0 &&
                            update.store_revision >= latest_.store_revision;
  if (!is_continued) {
    deletions_.clear();
    deletions_since_ = update.store_revision;
    return;
  }
  std::set<std::string_view> present;
  for (const ContentsItem& item : update.items) {
    if (!item.deleted) present.insert(item.key);
  }
  for (const auto& [key, item] : items_) {
    if (present.count(key) == 0) RememberDeletion(key, update.store_revision);
  }
}

void ContentsServer::RememberDeletion(const std::string& key,
                                      std::uint64_t revision) {
  deletions_[key] = revision;
  if (deletions_.size() <= kMaxDeletions) return;
  const auto oldest = std::min_element(deletions_.begin(), deletions_.end(),
                                       [](const auto& one, const auto& other) {
                                         return one.second < other.second;
                                       });
  deletions_since_ = oldest->second;
  deletions_.erase(oldest);
}

ContentsServer::FramePtr ContentsServer::MakeMissedChanges(
    const StoreVersion& base, TimePoint now) const {
  // Without a digest the follower could not tell whether its contents belong
  // to the same history.
  if (base.revision == 0 || base.revision < deletions_since_ ||
      base.epoch != latest_.epoch || base.revision > latest_.store_revision ||
      !latest_.report.state.is_known()) {
    return nullptr;
  }
  std::vector<ContentsItem> changes;
  for (const auto& [key, item] : items_) {
    if (item.revision <= base.revision) continue;
    changes.push_back(MakeItem(key, item, now));
  }
  for (const auto& [key, revision] : deletions_) {
    if (revision <= base.revision) continue;
    changes.push_back({.key = key, .revision = revision, .deleted = true});
  }
  if (changes.size() > items_.size()) return nullptr;
  ContentsMessage message = MakeMessage(ContentsKind::kChanges, now);
  message.base_revision = base.revision;
  std::string frame =
      EncodeContentsFrame(message, EncodeContentsItems(changes));
  if (frame.empty()) return nullptr;
  return std::make_shared<const std::string>(std::move(frame));
}

ContentsMessage ContentsServer::MakeMessage(ContentsKind kind,
                                            TimePoint now) const {
  const StoreReport& report = latest_.report;
  return {.kind = kind,
          .epoch = latest_.epoch,
          .store_revision = latest_.store_revision,
          .last_page_revision = latest_.last_page_revision,
          .revision = report.revision,
          .state = report.state,
          .confirmation_age = AgeOf(report.confirmed_at, now),
          .unbroken_for = AgeOf(report.unbroken_since, now),
          .lost_for = AgeOf(latest_.lost_since.value_or(TimePoint{}), now),
          .pause = latest_.pause,
          .hops = latest_.hops};
}

ContentsServer::FramePtr ContentsServer::MakeSnapshot(TimePoint now) {
  if (encoded_items_.empty()) {
    std::vector<ContentsItem> items;
    items.reserve(items_.size());
    for (const auto& [key, item] : items_) {
      items.push_back(MakeItem(key, item, now));
    }
    encoded_items_ = EncodeContentsItems(items);
    encoded_at_ = now;
  }
  std::string frame =
      EncodeContentsFrame(MakeMessage(ContentsKind::kSnapshot, now),
                          encoded_items_, now - encoded_at_);
  if (frame.empty()) return nullptr;
  return std::make_shared<const std::string>(std::move(frame));
}

void ContentsServer::SendSnapshots(TimePoint now) {
  if (followers_.empty()) return;
  const FramePtr frame = MakeSnapshot(now);
  if (!frame) return;
  for (auto& [number, follower] : followers_) {
    if (!follower.has_asked) continue;
    follower.is_in_step = true;
    follower.link->Send(frame);
    options_.on_sent("snapshot");
  }
}

void ContentsServer::SendToFollowers(const FramePtr& frame,
                                     std::string_view kind) {
  for (auto& [number, follower] : followers_) {
    if (!follower.is_in_step) continue;
    follower.link->Send(frame);
    options_.on_sent(kind);
  }
}

void ContentsServer::ScheduleConfirmation() {
  timer_.expires_after(kConfirmationInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    if (!followers_.empty()) {
      const TimePoint now = BootClock::now();
      const auto frame =
          std::make_shared<const std::string>(EncodeContentsFrame(
              MakeMessage(has_contents_ ? ContentsKind::kConfirmation
                                        : ContentsKind::kEmpty,
                          now)));
      for (auto& [number, follower] : followers_) {
        if (follower.has_asked) follower.link->Send(frame);
      }
    }
    ScheduleConfirmation();
  });
}

}  // namespace lacewingknot::edge
