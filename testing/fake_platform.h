// A fake platform: named documents that clients read and watch by long polls.
//
// A read with `after=N&wait_ms=M` of a document whose revision is N is answered
// when the revision changes or after M ms. Faults: down (connections are
// reset), stale (the documents that were held when staleness began are still
// served) and slow (every read is delayed). The platform counts calls and the
// highest number of calls in one second.
//
//   FakePlatform platform(io, 0);
//   platform.Put("settings", {.revision = 1, .text = "revision = 1"});
//
// Not thread-safe: runs on one io_context thread.

#ifndef TESTING_FAKE_PLATFORM_H_
#define TESTING_FAKE_PLATFORM_H_

#include <list>
#include <map>
#include <string>

#include "testing/fake_http.h"

namespace lacewingknot::testing {

class FakePlatform {
 public:
  struct Document {
    std::uint64_t revision = 0;
    std::string text;
  };

  static constexpr std::size_t kMaxDocumentBytes = 1 << 20;

  FakePlatform(boost::asio::io_context& io, std::uint16_t port);

  std::uint16_t port() const { return server_.port(); }
  // Stores the document and answers the long polls for it. Returns false if the
  // text is longer than kMaxDocumentBytes.
  bool Put(const std::string& name, Document document);
  void SetDown(bool down);
  // Documents stored while the platform is stale are served once staleness
  // ends.
  void SetStale(bool stale);
  void set_delay(Duration delay) { delay_ = delay; }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t peak_calls_per_second() const { return peak_calls_per_second_; }

 private:
  struct LongPoll {
    std::string name;
    std::uint64_t after;  // Revision that the client holds.
    std::shared_ptr<FakeConnection> connection;
    std::shared_ptr<boost::asio::steady_timer> timer;  // Ends the long poll.
  };

  void OnRequest(const FakeRequest& request,
                 const std::shared_ptr<FakeConnection>& connection);
  void OnRead(const FakeRequest& request,
              const std::shared_ptr<FakeConnection>& connection);
  void OnAdminRequest(const FakeRequest& request,
                      const std::shared_ptr<FakeConnection>& connection);
  void ReplyWithDocument(const Document& document, std::uint64_t after,
                         const std::shared_ptr<FakeConnection>& connection);
  void CountCall();

  boost::asio::io_context& io_;
  std::map<std::string, Document> documents_;
  // Documents stored while the platform is stale.
  std::map<std::string, Document> deferred_documents_;
  std::list<LongPoll> long_polls_;
  bool is_stale_ = false;
  Duration delay_{};
  std::uint64_t calls_ = 0;
  std::uint64_t calls_in_present_second_ = 0;
  std::uint64_t peak_calls_per_second_ = 0;
  TimePoint second_started_at_{};
  FakeHttpServer server_;
};

}  // namespace lacewingknot::testing

#endif  // TESTING_FAKE_PLATFORM_H_
