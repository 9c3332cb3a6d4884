// The relay's side of one connection: queries shards for the entry daemon at
// the other end.
//
// Makes each delegated attempt at the best replica that the query has not tried
// yet, within this daemon's extra-load budget, and makes no others.
// Results are merged and sent in batches: as soon as no attempt of the query is
// outstanding, and otherwise some milliseconds after the first result.
//
// Errors: an attempt that cannot be made is declined with AttemptEnd::kNotSent
// and one of the causes in relay_messages.h.
//
// Not thread-safe: runs on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_RELAY_SESSION_H_
#define LACEWINGKNOT_EDGE_RELAY_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/edge/edge_core.h"
#include "lacewingknot/edge/relay_channel.h"
#include "lacewingknot/policy/record_merge.h"

namespace lacewingknot::edge {

class RelaySession : public std::enable_shared_from_this<RelaySession> {
 public:
  struct Options {
    EdgeCore* core = nullptr;
    std::function<void(RelaySession*)> on_closed;
  };

  explicit RelaySession(Options options) : options_(std::move(options)) {}

  void Start(boost::asio::ip::tcp::socket socket);
  // Requests that the entry daemon delegate no further attempts here.
  void AnnounceStop() { channel_->Send(RelayStopNotice{}); }

 private:
  // Longest delay of the first batch, which acknowledges the request.
  static constexpr Duration kMaxAcknowledgementDelay =
      std::chrono::milliseconds(3);
  // Upper bound of the batching delay that an entry daemon may request.
  static constexpr Duration kMaxBatchDelay = std::chrono::milliseconds(50);
  // Time that a query is kept after its deadline.
  static constexpr Duration kQueryRetention = std::chrono::milliseconds(500);

  struct AttemptInFlight {
    AttemptPtr attempt;
    UpstreamPtr upstream;
  };
  // One shard of a query.
  struct Shard {
    std::vector<UpstreamPtr> tried;
    std::vector<UpstreamPtr> refused;  // Those that stated "not run".
    std::vector<AttemptInFlight> attempts_in_flight;
    bool answered = false;  // A part was accepted; a second must not be merged.
  };
  struct Query {
    std::shared_ptr<const OutboundRequest> request;
    TimePoint deadline{};
    Duration mean_latency{};  // Of one attempt.
    std::int64_t priority = 0;
    bool urgent = false;
    Duration max_batch_delay{};  // Longest time a result waits for its batch.
    TopRecordsMerger top_records{0};
    std::map<std::string, Shard, std::less<>> shards;  // By service.
    std::size_t outstanding_attempts = 0;
    std::vector<RelayResult> unsent_results;
    std::vector<std::string> unsent_parts;  // Records of the parts in them.
    // For the records in `unsent_parts` and `unsent_results`.
    std::vector<AnswerBudget::Reservation> unsent_held;
    // What the answers in them say of upstreams.
    std::map<std::string, StatementReport> unsent_statements;
    bool has_pending_send = false;  // A timer will send them.
  };

  void OnMessage(RelayMessage message);
  void OnAttemptRequest(RelayAttemptRequest request);
  void OnClosed(std::string_view cause);
  Query& FindOrAddQuery(RelayAttemptRequest& request, TimePoint now);
  void StartAttempt(std::uint64_t query_number, Query& query,
                    const RelayAttempt& delegated, TimePoint now);
  // Returns null and sets `cause` if the attempt is declined.
  UpstreamPtr ChooseUpstream(Service& service, const Shard& shard,
                             const Query& query, const RelayAttempt& delegated,
                             TimePoint now, std::string_view& cause) const;
  void OnResult(std::uint64_t query_number, const RelayAttempt& delegated,
                const AttemptPtr& attempt, const UpstreamPtr& upstream,
                AttemptResult result);
  void AddResult(std::uint64_t query_number, Query& query, RelayResult result);
  // Sends the query's results after `delay`, unless a timer is pending already.
  void ScheduleSend(std::uint64_t query_number, Query& query, Duration delay);
  void OnSendTimer(std::uint64_t query_number);
  void SendResults(std::uint64_t query_number, Query& query);
  // Cancels the attempts of the query and discards its state.
  void AbandonQuery(std::uint64_t query_number);
  // Cancels the shard's attempts that are still in flight.
  static void AbandonAttemptsInFlight(Shard& shard);

  Options options_;
  std::shared_ptr<RelayChannel> channel_;
  std::map<std::uint64_t, Query> queries_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_RELAY_SESSION_H_
