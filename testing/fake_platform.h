// A stand-in for the platform: two documents that can be read and watched.
//
// Faults: down, stale (goes on serving what it held when it turned stale),
// slow. It counts calls and the most calls in any second. Not thread-safe.

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
  // False if the document is larger than the platform holds.
  bool Put(const std::string& name, Document document);
  void SetDown(bool down);
  // Documents put while stale are served when it no longer is.
  void SetStale(bool stale);
  void set_delay(Duration delay) { delay_ = delay; }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t most_calls_in_a_second() const { return most_in_second_; }

 private:
  struct Waiter {
    std::string name;
    std::uint64_t after;
    std::shared_ptr<FakeConnection> connection;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void OnRequest(const FakeRequest& request,
                 const std::shared_ptr<FakeConnection>& connection);
  void OnRead(const FakeRequest& request,
              const std::shared_ptr<FakeConnection>& connection);
  void OnAdmin(const FakeRequest& request,
               const std::shared_ptr<FakeConnection>& connection);
  void ReplyWith(const Document& document, std::uint64_t after,
                 const std::shared_ptr<FakeConnection>& connection);
  void CountCall();

  boost::asio::io_context& io_;
  std::map<std::string, Document> documents_;
  std::map<std::string, Document> unseen_;
  std::list<Waiter> waiters_;
  bool stale_ = false;
  Duration delay_{};
  std::uint64_t calls_ = 0;
  std::uint64_t calls_in_second_ = 0;
  std::uint64_t most_in_second_ = 0;
  TimePoint second_began_at_{};
  FakeHttpServer server_;
};

}  // namespace lacewingknot::testing

#endif  // TESTING_FAKE_PLATFORM_H_
