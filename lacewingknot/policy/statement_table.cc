#include "lacewingknot/policy/statement_table.h"

#include <algorithm>
#include <cmath>

namespace lacewingknot {
namespace {

// A wait whose end moves by less is no news.
constexpr Duration kMinWaitNews = std::chrono::milliseconds(500);
// A rate that changes by less, as a share, is no news.
constexpr double kMinRateNews = 0.2;
// How long a rate is believed that no answer has stated since.
constexpr Duration kRateLifetime = std::chrono::seconds(30);
// How long an incarnation that leaves is remembered: longer than any of them
// takes to stop.
constexpr Duration kLeavingLifetime = std::chrono::minutes(10);

bool IsRateNews(std::optional<double> known, std::optional<double> stated) {
  if (known.has_value() != stated.has_value()) return true;
  return known && std::abs(*stated - *known) >= kMinRateNews * *known;
}

}  // namespace

bool StatementTable::Merge(const StatementReport& report,
                           StatementSource source, TimePoint now) {
  const TimePoint stated_at = now - report.age;
  const bool says_nothing =
      !report.is_leaving && !report.rate && report.wait <= Duration::zero();
  auto found = entries_.find(report.upstream);
  if (found == entries_.end()) {
    if (says_nothing) return false;
    if (entries_.size() >= kMaxUpstreams) RemoveOldest();
    found = entries_.emplace(report.upstream, Entry{}).first;
    found->second.incarnation = report.incarnation;
  }
  Entry& entry = found->second;
  if (report.incarnation < entry.incarnation) return false;
  if (report.incarnation > entry.incarnation) {
    entry = {.incarnation = report.incarnation};
  }
  bool is_news = false;
  if (report.is_leaving && !entry.is_leaving) {
    entry.is_leaving = true;
    is_news = true;
  }
  const TimePoint wait_until = now + report.wait;
  if (report.wait > Duration::zero() && wait_until > entry.wait_until) {
    is_news =
        is_news || wait_until > std::max(entry.wait_until, now) + kMinWaitNews;
    entry.wait_until = wait_until;
    entry.is_own_wait = source == StatementSource::kOwnAnswer;
  }
  if (stated_at > entry.stated_at) {
    const bool is_expired = stated_at - entry.stated_at >= kRateLifetime;
    is_news = is_news ||
              IsRateNews(is_expired ? std::nullopt : entry.rate, report.rate);
    entry.rate = report.rate;
    entry.stated_at = stated_at;
  }
  return is_news;
}

bool StatementTable::Holds(const Entry& entry, TimePoint now) {
  if (entry.is_leaving && now - entry.stated_at < kLeavingLifetime) return true;
  if (entry.wait_until > now) return true;
  return entry.rate && now - entry.stated_at < kRateLifetime;
}

StatementReport StatementTable::ToReport(const std::string& upstream,
                                         const Entry& entry, TimePoint now) {
  return {
      .upstream = upstream,
      .incarnation = entry.incarnation,
      .is_leaving = entry.is_leaving,
      .wait = std::max(entry.wait_until - now, Duration::zero()),
      .rate = now - entry.stated_at < kRateLifetime ? entry.rate : std::nullopt,
      .age = now - entry.stated_at};
}

std::optional<StatementTable::Known> StatementTable::Find(
    std::string_view upstream, std::int64_t incarnation, TimePoint now) const {
  const auto found = entries_.find(upstream);
  if (found == entries_.end() || found->second.incarnation != incarnation ||
      !Holds(found->second, now)) {
    return std::nullopt;
  }
  return Known{.report = ToReport(found->first, found->second, now),
               .is_own_wait = found->second.is_own_wait};
}

std::vector<StatementReport> StatementTable::Latest(std::size_t max,
                                                    TimePoint now) const {
  std::vector<StatementReport> reports;
  for (const auto& [upstream, entry] : entries_) {
    if (Holds(entry, now)) reports.push_back(ToReport(upstream, entry, now));
  }
  std::sort(reports.begin(), reports.end(),
            [](const StatementReport& one, const StatementReport& other) {
              return one.age < other.age;
            });
  if (reports.size() > max) reports.resize(max);
  return reports;
}

void StatementTable::RemoveOldest() {
  entries_.erase(std::min_element(
      entries_.begin(), entries_.end(), [](const auto& one, const auto& other) {
        return one.second.stated_at < other.second.stated_at;
      }));
}

}  // namespace lacewingknot
