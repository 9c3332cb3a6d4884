// What upstreams have said of themselves, as far as this daemon was told: in
// answers to it, and by other daemons that got such answers.
//
// Load pattern: hundreds of upstreams are replaced or overloaded at once, and
// say so to whichever daemon sends to them first. That daemon tells a few
// others, each of which tells a few more if it was news to them, so that all
// daemons know within fractions of a second and each message costs every daemon
// a constant number of datagrams. Reports arrive several times, late, and about
// upstreams that have started anew; entries of the directory lapse and return.
// Reports are told apart by the upstream's incarnation and by the age of the
// answer, and are kept while the directory does not list the upstream.
//
// A wait binds the daemon that was told to wait. To others it only shows that
// the upstream is overloaded.
//
// No I/O and no clock. Not thread-safe; a value type.
//
// Example:
//   StatementTable table;
//   if (table.Merge({.upstream = "s3-b", .incarnation = 1764892800000,
//                    .is_leaving = true}, StatementSource::kPeer, now)) {
//     TellOthers();
//   }
//   const auto known = table.Find("s3-b", 1764892800000, now);

#ifndef LACEWINGKNOT_POLICY_STATEMENT_TABLE_H_
#define LACEWINGKNOT_POLICY_STATEMENT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

// What one answer of an upstream said of it, told to another daemon.
struct StatementReport {
  std::string upstream;  // Its ID.
  // Start time of the upstream's process; a later one is a later incarnation.
  std::int64_t incarnation = 0;
  bool is_leaving = false;
  // Time left of the wait that it named; zero if there is none.
  Duration wait{};
  // Requests per second that it takes from all daemons; empty for no limit.
  std::optional<double> rate;
  Duration age{};  // Time since the answer.

  friend bool operator==(const StatementReport&,
                         const StatementReport&) = default;
};

enum class StatementSource { kOwnAnswer, kPeer };

class StatementTable {
 public:
  // Upstreams that are remembered at most; the oldest ones are forgotten.
  static constexpr std::size_t kMaxUpstreams = 4'096;

  // Adds what `report` says at `now`. Returns whether other daemons should be
  // told: it says something that was not known.
  bool Merge(const StatementReport& report, StatementSource source,
             TimePoint now);

  struct Known {
    StatementReport report;
    // The wait was named to this daemon.
    bool is_own_wait = false;
  };
  // Returns what is known of this incarnation; empty if it has said nothing
  // that still holds.
  std::optional<Known> Find(std::string_view upstream, std::int64_t incarnation,
                            TimePoint now) const;

  // Returns the `max` latest statements that still hold, for a daemon that has
  // just started.
  std::vector<StatementReport> Latest(std::size_t max, TimePoint now) const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::int64_t incarnation = 0;
    bool is_leaving = false;
    TimePoint wait_until{};
    bool is_own_wait = false;
    std::optional<double> rate;
    TimePoint stated_at{};  // Of the latest answer.
  };

  static StatementReport ToReport(const std::string& upstream,
                                  const Entry& entry, TimePoint now);
  // Whether the statement still matters to anybody.
  static bool Holds(const Entry& entry, TimePoint now);
  void RemoveOldest();

  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_STATEMENT_TABLE_H_
