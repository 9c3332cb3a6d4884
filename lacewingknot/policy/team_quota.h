// Enforces a team's quota over all daemons: a rate and a burst that the fleet
// together must not exceed, wherever the team's requests enter.
//
// Load pattern: the requests of a team enter at one daemon, at all, or move
// from one data centre to another, at a few per second each, and now and then a
// team sends many times its quota. A fixed part of the rate for each daemon
// would refuse most requests of a team that enters at one daemon.
//
// For each team one daemon, the keeper, is chosen by rendezvous hashing
// (RankKeepers in demand_shares.h). It holds the team's token bucket. A daemon
// with a request asks the keeper for a token, and for some in advance if the
// team sends often. Tokens that are held in advance count against the depth of
// the bucket until they expire or come back. In any window the keeper therefore
// grants at most the refill of that window and the depth of the bucket.
//
// A keeper that takes over claims the bucket of its predecessor, which then
// grants no more. A predecessor that does not answer is presumed dead, and the
// bucket starts empty. A keeper grants only while it is in contact with data
// centres that hold most of the daemons (FleetContact): after a partition at
// most one side has keepers. A daemon that reaches no keeper has a small part
// of the overshoot that the quota tolerates.
//
// No I/O and no clock. Not thread-safe.

#ifndef LACEWINGKNOT_POLICY_TEAM_QUOTA_H_
#define LACEWINGKNOT_POLICY_TEAM_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/policy/membership.h"

namespace lacewingknot {

struct TeamQuota {
  double rate_per_second = 0;  // Above 0.
  double burst = 0;

  friend bool operator==(const TeamQuota&, const TeamQuota&) = default;
};

// The limited teams of a configuration, by name.
using QuotaTable = std::map<std::string, TeamQuota, std::less<>>;

// What is tolerated: in any `window`, (rate x window + burst) x
// (1 + overshoot) + slack requests of a team over all daemons.
struct QuotaBounds {
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.25;
  double slack = 20;

  // Requests that are tolerated beyond the quota in a window.
  double Excess(const TeamQuota& quota) const;
  double Limit(const TeamQuota& quota) const;
};

// How a keeper's bucket and the daemons' own parts divide the bounds.
double BucketDepth(const TeamQuota& quota, const QuotaBounds& bounds);
double RefillPerSecond(const TeamQuota& quota, const QuotaBounds& bounds);
// Requests in a window that all daemons without a keeper may send together.
double FallbackPerWindow(const TeamQuota& quota, const QuotaBounds& bounds);
// Level at which the bucket of a keeper starts whose predecessor does not
// answer, but may grant for FleetContact::kLifetime: what is left of the
// bounds, at most the burst. Below 0: the bucket first pays for the
// predecessor's grants.
double TakeoverLevel(const TeamQuota& quota, const QuotaBounds& bounds);

enum class QuotaMessageKind {
  kAsk,          // Asks a keeper for tokens, or returns some.
  kGrant,        // Answers kAsk; no tokens: the bucket is empty.
  kElsewhere,    // Answers kAsk or kClaim: another daemon has the bucket.
  kClaim,        // Asks the previous keeper for the bucket.
  kHandOver,     // Answers kClaim with the contents of the bucket.
  kRefuseClaim,  // Answers kClaim: the keeper is well.
};
inline constexpr std::size_t kQuotaMessageKindCount = 6;

struct QuotaMessage {
  QuotaMessageKind kind = QuotaMessageKind::kAsk;
  std::string team;
  std::uint64_t number = 0;  // Of the ask; increases at each daemon.
  // kAsk: for requests that wait. kGrant: granted, including `ahead`.
  // kHandOver: in the bucket.
  std::uint32_t tokens = 0;
  // kAsk: wanted in advance. kGrant: part of `tokens` given in advance.
  // kHandOver: tokens that daemons hold.
  std::uint32_t ahead = 0;
  std::uint32_t given_back = 0;  // kAsk: unused tokens of the last grant.
  Duration wait{};               // kGrant: time until the next token.
  std::string keeper;            // kElsewhere: whom to ask; empty if unknown.
  // The daemons that precede the receiver in the ranking do not answer, or one
  // of them named the receiver.
  bool is_stand_in = false;
  bool has_bucket = false;  // kHandOver: there was one.

  friend bool operator==(const QuotaMessage&, const QuotaMessage&) = default;
};

struct OutgoingQuotaMessage {
  std::string to;  // Address.
  QuotaMessage message;
};

// Tells whether this daemon is in contact with data centres that hold most of
// the daemons. Data centres that are gone count for kMemory, because they may
// only be cut off.
class FleetContact {
 public:
  static constexpr Duration kMemory = std::chrono::minutes(2);
  // A message keeps a data centre in contact for so long: shorter than a daemon
  // needs to declare another one gone. With 900 ms the takeover level of a team
  // with 120/s and a burst of 60 is negative; 600 ms leave time for three
  // probes.
  static constexpr Duration kLifetime = std::chrono::milliseconds(600);
  // Silence after which a data centre should be probed, and the least time
  // between two probes of it.
  static constexpr Duration kProbeAfter = std::chrono::milliseconds(250);
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(150);
  static constexpr std::size_t kFewDaemons = 3;

  explicit FleetContact(std::string data_centre)
      : data_centre_(std::move(data_centre)) {}

  void SetMembers(std::span<const Member> alive, TimePoint now);
  void OnHeard(std::string_view data_centre, TimePoint now);
  // Whether this daemon is in contact with most of the daemons, and knows most
  // to be alive. Of equal halves, the one with the first data centre by name
  // has contact. A data centre of at most kFewDaemons is never split.
  bool HasMajority(TimePoint now) const;
  // Returns the data centres to probe now: as few as suffice for contact with
  // most of the daemons.
  std::vector<std::string> TakeDueProbes(TimePoint now);

 private:
  struct DataCentre {
    std::size_t daemons = 0;  // The most in the last kMemory.
    TimePoint counted_at{};
    TimePoint heard_at{};
    TimePoint probed_at{};
  };

  std::string data_centre_;
  std::map<std::string, DataCentre, std::less<>> data_centres_;
  std::size_t alive_ = 0;
};

// The buckets of the teams whose keeper this daemon is.
class TeamQuotaKeeper {
 public:
  // How long tokens in advance are valid: less than a window, so that a lowered
  // limit binds one window later.
  static constexpr Duration kTokenLifetime = std::chrono::seconds(4);
  // A claim that is not answered in this time ends with a bucket at the
  // takeover level.
  static constexpr Duration kClaimTimeout = std::chrono::milliseconds(35);

  struct Options {
    std::string self;  // Address.
    QuotaBounds bounds;
  };

  TeamQuotaKeeper(Options options, TimePoint now)
      : options_(std::move(options)), previous_view_at_(now), view_at_(now) {}

  void SetQuotas(QuotaTable quotas, TimePoint now);
  // `is_whole_fleet` is false while only the seeds are known.
  void SetMembers(std::span<const Member> alive, bool is_whole_fleet,
                  TimePoint now);
  // Sets whether this daemon may grant tokens (FleetContact::HasMajority). A
  // daemon that may not loses its buckets: others take over.
  void SetMayGrant(bool may_grant, TimePoint now);
  // Returns the messages to send in response.
  std::vector<OutgoingQuotaMessage> OnMessage(std::string_view from,
                                              const QuotaMessage& message,
                                              TimePoint now);
  // Teams whose bucket this daemon took over from a daemon that did not answer,
  // since the last call.
  std::vector<std::string> TakeStartedEmpty() {
    return std::exchange(started_empty_, {});
  }
  std::size_t bucket_count() const;

 private:
  struct Record {
    std::uint64_t number = 0;  // Of the last ask.
    QuotaMessage grant;
    TimePoint granted_at{};
    bool is_returned = false;
  };
  struct Bucket {
    double level = 0;
    TimePoint refilled_at{};
    // Tokens that the predecessor granted in advance.
    double inherited = 0;
    TimePoint inherited_until{};
    double refusals_per_second = 0;  // Decaying mean.
    TimePoint cleaned_at{};
    TimePoint refused_at{};
    std::map<std::string, Record, std::less<>> daemons;
  };
  struct Waiting {
    std::string from;
    QuotaMessage ask;
  };
  struct TeamState {
    std::optional<Bucket> bucket;
    std::uint64_t view = 0;  // For which `first` was computed.
    std::string first;       // Of the ranking.
    TimePoint keeper_since{};
    // Daemons that may have the bucket and were not asked for it yet.
    std::vector<std::string> predecessors;
    // A claim under way: those that have not answered, and what others gave.
    std::optional<TimePoint> claimed_at;
    std::vector<std::string> claimed_from;
    TimePoint claim_sent_at{};
    double claimed_level = 0;
    double claimed_held = 0;
    bool claimed_bucket = false;
    // Daemons that did not answer a claim: they are asked again while this
    // daemon stands in for them, and for kSuspectTime.
    std::vector<std::string> suspects;
    TimePoint suspected_at{};
    TimePoint asked_again_at{};
    TimePoint taken_over_at{};  // From a daemon that did not answer.
    std::string refused_by;
    TimePoint refused_until{};
    std::string handed_to;
    TimePoint handed_until{};
    QuotaMessage handed;
    std::vector<Waiting> waiting;
  };

  static constexpr Duration kClaimInterval = std::chrono::milliseconds(12);
  // How long asks are redirected after the bucket was handed over.
  static constexpr Duration kRedirectTime = std::chrono::milliseconds(2'000);
  static constexpr Duration kRefusalTime = std::chrono::milliseconds(100);
  static constexpr Duration kSuspectTime = std::chrono::seconds(10);
  static constexpr Duration kSuspectInterval = std::chrono::milliseconds(100);
  static constexpr std::size_t kRanks = 3;
  static constexpr std::size_t kMaxWaiting = 256;
  // Asks for one team while it is over its quota, per second, from which on
  // daemons are told to ask less often.
  static constexpr double kAsksPerSecond = 25;
  static constexpr Duration kMaxWait = std::chrono::seconds(10);
  // Records of daemons that have not asked for so long are dropped.
  static constexpr Duration kRecordTime = std::chrono::seconds(6);

  void UpdateView(std::string_view team, TeamState& state, TimePoint now);
  // Adds the first of the ranking in each data centre.
  void AddFirstOfDataCentres(std::string_view team,
                             std::vector<std::string>& candidates) const;
  // Whether this daemon stands in for the keeper before `other` does.
  bool Precedes(std::string_view team, std::string_view other) const;
  void OnAsk(std::string_view from, const QuotaMessage& ask, TimePoint now,
             std::vector<OutgoingQuotaMessage>& out);
  void OnClaim(std::string_view from, const QuotaMessage& claim, TimePoint now,
               std::vector<OutgoingQuotaMessage>& out);
  void OnClaimAnswer(std::string_view from, const QuotaMessage& answer,
                     TimePoint now, std::vector<OutgoingQuotaMessage>& out);
  // Returns whether the state has a bucket; otherwise a claim is under way.
  bool EnsureBucket(std::string_view team, TeamState& state,
                    const TeamQuota& quota, TimePoint now,
                    std::vector<OutgoingQuotaMessage>& out);
  void FinishClaim(std::string_view team, TeamState& state,
                   const TeamQuota& quota, TimePoint now);
  void AskSuspectsAgain(std::string_view team, TeamState& state, TimePoint now,
                        std::vector<OutgoingQuotaMessage>& out);
  void SendClaims(std::string_view team, const TeamState& state,
                  std::span<const std::string> to,
                  std::vector<OutgoingQuotaMessage>& out) const;
  QuotaMessage Grant(Bucket& bucket, const TeamQuota& quota,
                     std::string_view from, const QuotaMessage& ask,
                     TimePoint now);
  void AnswerWaiting(TeamState& state, const TeamQuota& quota, TimePoint now,
                     std::vector<OutgoingQuotaMessage>& out);
  double Outstanding(const Bucket& bucket, TimePoint now) const;
  void Refill(Bucket& bucket, const TeamQuota& quota, TimePoint now) const;

  Options options_;
  QuotaTable quotas_;
  std::map<std::string, TimePoint, std::less<>> known_since_;  // By team.
  std::map<std::string, TeamState, std::less<>> teams_;
  std::vector<Member> members_;
  std::vector<Member> previous_members_;
  std::uint64_t view_ = 0;
  TimePoint previous_view_at_;
  TimePoint granting_since_{};
  TimePoint view_at_;
  TimePoint members_lost_at_{};
  bool is_whole_fleet_ = false;
  bool may_grant_ = true;
  std::vector<std::string> started_empty_;
};

// The tokens that this daemon holds, and its asks.
class TeamQuotaClient {
 public:
  // Time until an ask is repeated. Twice the usual time of answers, in these
  // bounds.
  static constexpr Duration kMinRetry = std::chrono::milliseconds(20);
  static constexpr Duration kMaxRetry = std::chrono::milliseconds(60);

  struct Options {
    std::string self;  // Address.
    QuotaBounds bounds;
    // Number of the first ask; higher than those of earlier processes.
    std::uint64_t first_number = 1;
  };
  // What became of a request; the default waits for a keeper.
  struct Outcome {
    enum class Kind { kWaits, kAllowed, kRefused };
    Kind kind = Kind::kWaits;
    std::uint64_t request = 0;
    Duration retry_after{};  // Of a refused request.
    // Decided without a keeper.
    bool is_fallback = false;
  };

  explicit TeamQuotaClient(Options options)
      : options_(std::move(options)), last_number_(options_.first_number) {}

  void SetQuotas(QuotaTable quotas);
  // Sets the daemons among which the keepers are. `is_whole_fleet` is false
  // while only the seeds are known; a daemon then has no part of its own.
  void SetMembers(std::vector<Member> members, bool is_whole_fleet);

  // Asks for a token for `request`, a number that the caller chooses. If the
  // outcome is kWaits, a later TakeOutcomes() tells it, at the latest after
  // Tick(latest). `latest_token` is how long a request waits for an empty
  // bucket, if a keeper has answered.
  Outcome Acquire(std::string_view team, std::uint64_t request,
                  TimePoint latest, TimePoint now,
                  TimePoint latest_token = TimePoint::max());
  // Ends the wait of a request that has been given up.
  void Abandon(std::string_view team, std::uint64_t request);
  // Returns the token of a request that was not sent.
  void GiveBack(std::string_view team, TimePoint now);

  void OnMessage(std::string_view from, const QuotaMessage& message,
                 TimePoint now);
  void Tick(TimePoint now);
  // When Tick() is due; empty if nothing is pending.
  std::optional<TimePoint> NextTick() const;

  std::vector<OutgoingQuotaMessage> TakeMessages() {
    return std::exchange(messages_, {});
  }
  std::vector<Outcome> TakeOutcomes() { return std::exchange(outcomes_, {}); }
  // The daemon that an ask would go to; empty if none is known.
  std::string Keeper(std::string_view team, TimePoint now) const;
  // Tokens that are held of a team, for explanations.
  std::uint32_t HeldTokens(std::string_view team, TimePoint now) const;

 private:
  struct Held {
    std::uint32_t tokens = 0;
    TimePoint valid_until{};
  };
  struct Waiting {
    std::uint64_t request = 0;
    TimePoint latest{};
    TimePoint latest_token{};
    bool has_waited = false;  // For a bucket that was empty.
  };
  struct Ask {
    std::uint64_t number = 0;
    std::uint32_t tokens = 0;
    std::uint32_t ahead = 0;
    std::uint32_t given_back = 0;
    std::string to;
    std::string also_to;  // The next in the ranking, if `to` is silent.
    bool is_stand_in = false;
    std::size_t rank = 0;
    int tries = 0;
    int redirects = 0;
    TimePoint sent_at{};
    TimePoint retry_at{};
  };
  struct TeamState {
    std::vector<std::string> ranking;
    std::uint64_t view = 0;  // For which `ranking` was computed.
    std::deque<Held> held;
    std::uint32_t unused = 0;  // Expired tokens to give back.
    std::deque<Waiting> waiting;
    std::optional<Ask> ask;
    double per_second = 0;  // Decaying mean of the demand.
    TimePoint counted_at{};
    TimePoint empty_until{};
    TimePoint ask_again_at{};   // For requests that wait; zero if none do.
    std::uint32_t refused = 0;  // Since `empty_until` was set.
    TimePoint unreachable_until{};
    std::string redirect;
    TimePoint redirect_until{};
    std::int64_t fallback_slot = -1;
  };

  static constexpr int kMaxTries = 3;
  static constexpr std::size_t kRanks = 3;
  static constexpr int kMaxRedirects = 3;
  // How long a keeper that did not answer is not asked first, unless it is
  // heard from: as long as it takes until all daemons know that a member is
  // gone.
  static constexpr Duration kSilenceTime = std::chrono::seconds(6);
  static constexpr Duration kUnreachableTime = std::chrono::milliseconds(300);
  static constexpr Duration kRedirectTime = std::chrono::milliseconds(1'000);

  void UpdateRanking(std::string_view team, TeamState& state);
  bool TakeHeld(TeamState& state, TimePoint now);
  void ExpireHeld(TeamState& state, TimePoint now);
  void CountDemand(TeamState& state, TimePoint now);
  // Whether the daemon did not answer lately.
  bool IsSilent(std::string_view address, TimePoint now) const;
  void StartAsk(const std::string& team, TeamState& state, TimePoint now);
  void AskAhead(const std::string& team, TeamState& state, TimePoint now);
  // Number of tokens that the team's demand here needs in advance.
  std::uint32_t WantedAhead(const TeamState& state) const;
  void SendAsk(const std::string& team, TeamState& state, TimePoint now);
  void AskNext(const std::string& team, TeamState& state, TimePoint now);
  void OnGrant(const std::string& team, TeamState& state,
               const QuotaMessage& grant, TimePoint now);
  bool TakeFallback(std::string_view team, TeamState& state, TimePoint now);
  Outcome Refuse(std::string_view team, TeamState& state, std::uint64_t request,
                 TimePoint now);
  // Allows or refuses a request without a keeper.
  Outcome DecideAlone(std::string_view team, TeamState& state,
                      std::uint64_t request, TimePoint now);
  void ServeWaiting(TeamState& state, TimePoint now);

  Options options_;
  QuotaTable quotas_;
  std::vector<Member> members_;
  bool is_whole_fleet_ = false;
  std::uint64_t view_ = 1;
  std::uint64_t last_number_;
  Duration answer_time_ = std::chrono::milliseconds(5);  // Decaying mean.
  std::map<std::string, TeamState, std::less<>> teams_;
  std::map<std::string, TimePoint, std::less<>> silent_until_;  // By address.
  std::vector<OutgoingQuotaMessage> messages_;
  std::vector<Outcome> outcomes_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_TEAM_QUOTA_H_
