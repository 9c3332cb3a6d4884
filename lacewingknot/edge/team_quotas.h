// Tokens of the teams' quotas for the requests of this daemon
// (policy/team_quota.h).
//
// Asks for tokens travel to the keepers in gossip datagrams, which the control
// thread sends. A daemon without other daemons is its own keeper.
//
// Not thread-safe: runs on the traffic thread.
//
// Example:
//   const auto ticket = quotas.Acquire("search", now + patience,
//       [self](const TeamQuotas::Decision& decision) { ... });
//   ...
//   quotas.GiveBack("search");  // The request was not sent.

#ifndef LACEWINGKNOT_EDGE_TEAM_QUOTAS_H_
#define LACEWINGKNOT_EDGE_TEAM_QUOTAS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/edge/edge_metrics.h"
#include "lacewingknot/edge/team_table.h"
#include "lacewingknot/edge/timer_queue.h"
#include "lacewingknot/policy/team_quota.h"

namespace lacewingknot::edge {

// Returns the quotas of the teams that have one.
QuotaTable QuotasOf(const TeamTable& teams);

class TeamQuotas {
 public:
  struct Options {
    TimerQueue* timers = nullptr;
    EdgeMetrics* metrics = nullptr;
    std::string self;  // This daemon's address among the members.
    QuotaBounds bounds;
    // Sends to keepers. If empty, this daemon is the only one.
    std::function<void(std::vector<OutgoingQuotaMessage> messages)> send;
  };
  struct Decision {
    bool is_allowed = false;
    Duration retry_after{};  // Of a refused request.
  };
  // What operators see of a team with a quota.
  struct State {
    std::string keeper;  // Asked first at present; empty: none is known.
    std::uint32_t tokens_held = 0;
    // Decisions within kRecentTime.
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };
  static constexpr Duration kRecentTime = std::chrono::seconds(10);

  using Callback = std::function<void(const Decision& decision)>;
  using Ticket = std::uint64_t;

  explicit TeamQuotas(Options options);
  TeamQuotas(const TeamQuotas&) = delete;
  TeamQuotas& operator=(const TeamQuotas&) = delete;
  ~TeamQuotas() { options_.timers->Cancel(timer_); }

  void SetQuotas(const QuotaTable& quotas);
  void SetMembers(std::vector<Member> members, bool is_whole_fleet);
  // Takes the messages of daemon `from`.
  void OnMessages(std::string_view from,
                  std::span<const QuotaMessage> messages);

  // Asks for a token of `team` and calls `callback` once: now or, if a keeper
  // must be asked, at `latest` or earlier. An empty bucket is waited for until
  // `latest_token`. Returns a ticket if it waits.
  std::optional<Ticket> Acquire(std::string_view team, TimePoint latest,
                                Callback callback,
                                TimePoint latest_token = TimePoint::max());
  struct Preview {
    TeamQuotaClient::Outcome outcome;  // kWaits: a keeper must be asked.
    std::uint32_t held_tokens = 0;
  };
  // Returns what Acquire() would decide now, without any of its effects.
  Preview PreviewAcquire(std::string_view team, TimePoint now) const;
  // Drops a waiting request without a call of its callback.
  void Abandon(std::string_view team, Ticket ticket);
  // Returns the token of a request that was not sent.
  void GiveBack(std::string_view team);
  State StateOf(std::string_view team, TimePoint now) const;

 private:
  struct Waiting {
    std::string team;
    Callback callback;
  };
  // Decisions since the last log line about a team.
  struct Unlogged {
    TimePoint logged_at{};
    std::uint64_t refused = 0;
    std::uint64_t fallback_allowed = 0;
    std::uint64_t fallback_refused = 0;
  };

  // Decisions about a team in each second of the last kRecentTime.
  struct Recent {
    struct Second {
      std::int64_t number = -1;  // Since the epoch of the clock.
      std::uint64_t admitted = 0;
      std::uint64_t refused = 0;
    };
    std::array<Second, kRecentTime / std::chrono::seconds(1)> seconds;
  };

  // Least time between two log lines about a team.
  static constexpr Duration kLogInterval = std::chrono::seconds(1);

  // Passes the messages of `client` to `keeper`, and back, until none is left.
  static void Exchange(const std::string& self, TeamQuotaClient& client,
                       TeamQuotaKeeper& keeper, TimePoint now);
  // Sends messages, calls back and plans the next tick.
  void Advance();
  void Decide(const std::string& team, const TeamQuotaClient::Outcome& outcome,
              const Callback& callback);
  void Count(const std::string& team, const TeamQuotaClient::Outcome& outcome,
             TimePoint now);

  Options options_;
  TeamQuotaClient client_;
  TeamQuotaKeeper own_keeper_;  // Used if this daemon is the only one.
  QuotaTable quotas_;
  std::map<Ticket, Waiting> waiting_;
  std::map<std::string, Unlogged, std::less<>> unlogged_;
  std::map<std::string, Recent, std::less<>> recent_;
  Ticket last_ticket_ = 0;
  TimerQueue::Id timer_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_TEAM_QUOTAS_H_
