// Reads the documents that the platform publishes and watches them by long
// polling.
//
// The platform serves two documents, "settings" and "vms", at
// `GET /v1/documents/NAME?after=REVISION&wait_ms=N`. It replies at once with
// status 200 if it holds a revision other than REVISION. Otherwise it waits for
// a new revision and replies with status 304 if there is none after N ms. The
// header `X-Revision` of both replies is the revision that the platform holds.
// The interface is read-only.
//
// Each long poll counts as one read of the platform. The wait of a poll grows
// with the size of the fleet, so that the rate of reads by all daemons together
// stays constant while nothing changes; see LongPollWait.
//
// Example:
//   DocumentWatch watch(
//       io, {.name = "vms",
//            .address = "127.0.0.1:8500",
//            .clock = BootTimeClock(),
//            .held_revision = [&] { return list.revision; },
//            .long_poll_wait =
//                [&] { return LongPollWait(list.vms.size(), 20); },
//            .on_document = [&](const std::string& text, TimePoint) {
//              if (auto parsed = ParseVmList(text)) list = parsed.value();
//            },
//            .on_confirmed = [](std::uint64_t, TimePoint) {},
//            .on_poll_finished = [](bool) {}});
//   watch.Start();

#ifndef LACEWINGKNOT_DOCUMENTS_DOCUMENTS_H_
#define LACEWINGKNOT_DOCUMENTS_DOCUMENTS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/base/error.h"
#include "lacewingknot/http/client.h"
#include "lacewingknot/policy/fleet_view.h"

namespace lacewingknot {

// Parses the "vms" document, which is JSON. Fails with kInvalidSettings.
Result<VmList> ParseVmList(const std::string& text);

// Returns the wait of one long poll with which `fleet_size` daemons together
// make `reads_per_second` reads while nothing changes. The result is at least
// 1 s and at most 60 s.
Duration LongPollWait(std::size_t fleet_size, std::int64_t reads_per_second);

// Watches one document from Start() until it is destroyed. A failed poll is
// repeated after an exponential backoff. Not thread-safe: it is used on the
// thread of the io_context (the control thread), which also runs the callbacks.
// Every callback must be set.
class DocumentWatch {
 public:
  struct Options {
    std::string name;
    std::string address;  // "IP:PORT" of the platform.
    Clock clock;
    // Returns the revision that the daemon holds, or 0 if it holds none.
    std::function<std::uint64_t()> held_revision;
    // Returns the wait of the next long poll.
    std::function<Duration()> long_poll_wait;
    // Called with a revision of the document other than the one held. `at` is
    // the time at which the poll was sent.
    std::function<void(const std::string& text, TimePoint at)> on_document;
    // Called when the platform has confirmed that it held `revision` at `at`.
    std::function<void(std::uint64_t revision, TimePoint at)> on_confirmed;
    // Called after each poll; `answered` is false if the poll failed.
    std::function<void(bool answered)> on_poll_finished;
  };

  DocumentWatch(boost::asio::io_context& io, Options options);
  ~DocumentWatch();

  void Start();

 private:
  void SendPoll();
  void OnReply(Result<ClientReply> reply, TimePoint began_at);
  void SendPollAfter(Duration delay);

  boost::asio::io_context& io_;
  Options options_;
  std::unique_ptr<HttpClient> client_;  // Times out polls of poll_wait_.
  boost::asio::steady_timer timer_;
  Duration poll_wait_{};  // Of the poll in progress.
  int failures_ = 0;      // Since the last successful poll.
  // Callbacks hold a weak pointer to it and do nothing after it has expired.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_DOCUMENTS_DOCUMENTS_H_
