// A loopback proxy that harms the connections that pass through it.
//
// Not thread-safe: runs on the io_context's thread.

#ifndef TESTING_FAULT_PROXY_H_
#define TESTING_FAULT_PROXY_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <list>
#include <memory>

#include "lacewingknot/base/clock.h"

namespace lacewingknot::testing {

class FaultProxy {
 public:
  enum class Fault {
    kNone,
    kDelay,       // Bytes pass 50 ms late.
    kReset,       // Connections are reset, new ones too.
    kSilent,      // Nothing passes; connections stay open.
    kCutAnswers,  // Bytes pass to the target only.
  };

  FaultProxy(boost::asio::io_context& io, std::uint16_t target);

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Applies to open connections too. What was swallowed stays lost: a
  // connection that was silent is reset when the fault ends.
  void set_fault(Fault fault);

 private:
  struct Pipe;

  void Accept();
  void Pump(const std::shared_ptr<Pipe>& pipe, bool to_target);
  void Reset(const std::shared_ptr<Pipe>& pipe);
  void ResetAll();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t target_;
  Fault fault_ = Fault::kNone;
  std::list<std::shared_ptr<Pipe>> pipes_;
};

}  // namespace lacewingknot::testing

#endif  // TESTING_FAULT_PROXY_H_
