#include "review/standins-2/store_stand_in.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace review {
namespace {

constexpr std::size_t kMaxPageItems = 500;
constexpr std::size_t kMaxPageBytes = 1 << 20;
constexpr std::uint64_t kMaxWaitMs = 30'000;

std::string EncodeBase64(const std::string& bytes) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8U;
      if (j < count) group |= static_cast<unsigned char>(bytes[i + j]);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= count ? kDigits[(group >> (18 - 6 * j)) & 63U] : '=';
    }
  }
  return text;
}

HttpResponse JsonResponse(std::string body) {
  return {.status = 200,
          .headers = "Content-Type: application/json\r\n",
          .body = std::move(body)};
}

std::uint64_t NumberOf(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

void StoreStandIn::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  const std::string revision = std::to_string(++revision_);
  const std::string json = R"({"key":")" + key + R"(","value":")" +
                           EncodeBase64(value) + R"(","revision":)" + revision +
                           R"(,"created":)" + revision + R"(,"lease":0})";
  items_[key] = {.revision = revision_, .json = json};
  events_.push_back({.revision = revision_, .json = json});
  changed_.notify_all();
}

void StoreStandIn::Delete(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  items_.erase(key);
  events_.push_back({.revision = revision_,
                     .json = R"({"key":")" + key + R"(","revision":)" +
                             std::to_string(revision_) +
                             R"(,"deleted":true})"});
  changed_.notify_all();
}

HttpResponse StoreStandIn::Handle(const HttpRequest& request) {
  const std::string path = request.path();
  if (path == "/lacewingknot/kv-range") return Range(request);
  if (path == "/lacewingknot/kv-watch") return Watch(request);
  if (path == "/lacewingknot/kv-key") {
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(request.parameter("key"));
    if (found != items_.end()) return JsonResponse(found->second.json);
  }
  return {.status = 404, .headers = {}, .body = {}};
}

HttpResponse StoreStandIn::Range(const HttpRequest& request) {
  const std::string prefix = request.parameter("prefix");
  const std::string after = request.parameter("after");
  const std::lock_guard lock(mutex_);
  std::string items;
  std::size_t count = 0;
  bool has_more = false;
  for (auto item = items_.upper_bound(after); item != items_.end(); ++item) {
    if (!item->first.starts_with(prefix)) continue;
    const bool is_full =
        items.size() + item->second.json.size() > kMaxPageBytes;
    if (count == kMaxPageItems || (count > 0 && is_full)) {
      has_more = true;
      break;
    }
    items += (count++ == 0 ? "" : ",") + item->second.json;
  }
  return JsonResponse("{\"items\":[" + items +
                      "],\"has_more\":" + (has_more ? "true" : "false") +
                      ",\"current_rev\":" + std::to_string(revision_) + "}");
}

HttpResponse StoreStandIn::Watch(const HttpRequest& request) {
  const std::string prefix = request.parameter("prefix");
  const std::uint64_t after = NumberOf(request.parameter("after"));
  const std::uint64_t wait_ms =
      std::min(NumberOf(request.parameter("wait_ms")), kMaxWaitMs);
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                    [&] { return revision_ > after; });
  std::string events;
  for (const Event& event : events_) {
    if (event.revision <= after) continue;
    events += (events.empty() ? "" : ",") + event.json;
  }
  return JsonResponse("{\"events\":[" + events +
                      "],\"current_rev\":" + std::to_string(revision_) + "}");
}

}  // namespace review
