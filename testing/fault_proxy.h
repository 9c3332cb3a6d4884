// A loopback TCP proxy that injects faults into the connections through it.
//
//   FaultProxy proxy(io, server_port);  // Clients connect to proxy.port().
//   proxy.set_fault(FaultProxy::Fault::kReset);
//
// Not thread-safe: runs on the thread of the io_context.

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
    kDelay,        // Bytes are forwarded 50 ms late.
    kReset,        // Open and new connections are reset.
    kSilent,       // Bytes are discarded; connections stay open.
    kDropReplies,  // Bytes from the target are discarded.
  };

  FaultProxy(boost::asio::io_context& io, std::uint16_t target);

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Applies `fault` to open connections too. Discarded bytes cannot be
  // recovered, so the end of kSilent or kDropReplies resets all connections.
  void set_fault(Fault fault);
  // Open connections go silent for good; no later fault closes them. New ones
  // work.
  void SeverOpen();

 private:
  struct ProxiedConnection;

  void Accept();
  void Forward(const std::shared_ptr<ProxiedConnection>& connection,
               bool to_target);
  void Reset(const std::shared_ptr<ProxiedConnection>& connection);
  void ResetAll();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t target_port_;
  Fault fault_ = Fault::kNone;
  std::list<std::shared_ptr<ProxiedConnection>> connections_;
};

}  // namespace lacewingknot::testing

#endif  // TESTING_FAULT_PROXY_H_
