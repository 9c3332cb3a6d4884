// Reading and watching what the platform publishes.
//
// The platform serves two documents, "settings" and "vms", at
// `GET /v1/documents/NAME?after=REVISION&wait_ms=N`. The call returns at once
// with status 200 if the platform holds a revision other than REVISION, and
// otherwise waits, at most N ms, and returns 304. Both carry the revision that
// the platform holds in `X-Revision`. Nothing can be written.
//
// A waiting call counts as one read, so the wait grows with the fleet and the
// reads of all daemons together stay the same (WatchWait).

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

// Parses the "vms" document. Fails with kInvalidSettings.
Result<VmList> ParseVmList(const std::string& text);

// How long each of `fleet_size` daemons waits in one call, so that all make
// `reads_per_second` calls together.
Duration WatchWait(std::size_t fleet_size, std::int64_t reads_per_second);

// Watches one document until destroyed. Not thread-safe: lives on the control
// thread, which also runs its callbacks.
class DocumentWatch {
 public:
  struct Options {
    std::string name;
    std::string address;  // Of the platform.
    Clock clock;
    // Revision held now, 0 for none.
    std::function<std::uint64_t()> held_revision;
    std::function<Duration()> wait;
    // A document that differs from the one held. `at` is when the call began.
    std::function<void(const std::string& text, TimePoint at)> on_document;
    // The platform held `revision` at `at`.
    std::function<void(std::uint64_t revision, TimePoint at)> on_confirmed;
    std::function<void(bool answered)> on_read;
  };

  DocumentWatch(boost::asio::io_context& io, Options options);
  ~DocumentWatch();

  void Start();

 private:
  void Call();
  void OnReply(Result<ClientReply> reply, TimePoint began_at);
  void CallAfter(Duration pause);

  boost::asio::io_context& io_;
  Options options_;
  std::unique_ptr<HttpClient> client_;
  boost::asio::steady_timer timer_;
  Duration waited_{};  // By the call in progress.
  int failures_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_DOCUMENTS_DOCUMENTS_H_
