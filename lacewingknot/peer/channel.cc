#include "lacewingknot/peer/channel.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <vector>

#include "lacewingknot/peer/message.h"

namespace lacewingknot {
namespace {

constexpr int kSendBufferMessages = 256;
constexpr nng_duration kMinReconnectMs = 100;
constexpr nng_duration kMaxReconnectMs = 1'000;

// A PUSH socket to one peer, and whether it is connected.
class PeerSocket {
 public:
  explicit PeerSocket(const std::string& address) {
    if (nng_push0_open(&socket_) != 0) return;
    opened_ = true;
    nng_setopt_int(socket_, NNG_OPT_SENDBUF, kSendBufferMessages);
    nng_setopt_ms(socket_, NNG_OPT_RECONNMINT, kMinReconnectMs);
    nng_setopt_ms(socket_, NNG_OPT_RECONNMAXT, kMaxReconnectMs);
    nng_pipe_notify(socket_, NNG_PIPE_EV_ADD_POST, &PeerSocket::OnPipe, this);
    nng_pipe_notify(socket_, NNG_PIPE_EV_REM_POST, &PeerSocket::OnPipe, this);
    const std::string url = "tcp://" + address;
    nng_dial(socket_, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
  }

  ~PeerSocket() {
    if (opened_) nng_close(socket_);
  }

  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  bool Send(std::string_view bytes) {
    if (!opened_ || pipes_.load() == 0) return false;
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0) return false;
    nng_msg_append(message, bytes.data(), bytes.size());
    if (nng_sendmsg(socket_, message, NNG_FLAG_NONBLOCK) == 0) return true;
    nng_msg_free(message);
    return false;
  }

 private:
  static void OnPipe(nng_pipe, nng_pipe_ev event, void* self) {
    auto* socket = static_cast<PeerSocket*>(self);
    socket->pipes_ += event == NNG_PIPE_EV_ADD_POST ? 1 : -1;
  }

  nng_socket socket_{};
  bool opened_ = false;
  std::atomic<int> pipes_{0};
};

}  // namespace

class PeerChannel::Impl {
 public:
  explicit Impl(Options options) : options_(std::move(options)) {}
  ~Impl() { Stop(); }

  Result<void> Start();
  Result<void> Send(const std::string& address, std::string_view bytes);
  std::shared_ptr<PeerSocket> SocketTo(const std::string& address);
  void Retain(const std::vector<std::string>& addresses);
  void Stop();
  std::uint64_t bytes() const { return bytes_.load(); }

 private:
  static void OnReceive(void* self);

  Options options_;
  nng_socket pull_{};
  nng_aio* aio_ = nullptr;
  bool listening_ = false;
  std::atomic<std::uint64_t> bytes_{0};
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<PeerSocket>> sockets_;
};

Result<void> PeerChannel::Impl::Start() {
  const auto failed = [](int code) {
    return Error{ErrorType::kPeerUnreachable, nng_strerror(code)};
  };
  if (const int code = nng_pull0_open(&pull_); code != 0) return failed(code);
  nng_setopt_size(pull_, NNG_OPT_RECVMAXSZ, kMaxPeerMessageBytes);
  const std::string url = "tcp://" + options_.listen;
  if (const int code = nng_listen(pull_, url.c_str(), nullptr, 0); code != 0) {
    nng_close(pull_);
    return failed(code);
  }
  listening_ = true;
  if (const int code = nng_aio_alloc(&aio_, &Impl::OnReceive, this);
      code != 0) {
    return failed(code);
  }
  nng_recv_aio(pull_, aio_);
  return Ok();
}

void PeerChannel::Impl::OnReceive(void* self) {
  auto* impl = static_cast<Impl*>(self);
  const int result = nng_aio_result(impl->aio_);
  if (result == NNG_ECLOSED || result == NNG_ECANCELED) return;
  if (result == 0) {
    nng_msg* message = nng_aio_get_msg(impl->aio_);
    impl->bytes_ += nng_msg_len(message);
    impl->options_.on_message({static_cast<const char*>(nng_msg_body(message)),
                               nng_msg_len(message)});
    nng_msg_free(message);
  }
  nng_recv_aio(impl->pull_, impl->aio_);
}

std::shared_ptr<PeerSocket> PeerChannel::Impl::SocketTo(
    const std::string& address) {
  std::lock_guard lock(mutex_);
  std::shared_ptr<PeerSocket>& socket = sockets_[address];
  if (socket == nullptr) socket = std::make_shared<PeerSocket>(address);
  return socket;
}

Result<void> PeerChannel::Impl::Send(const std::string& address,
                                     std::string_view bytes) {
  if (SocketTo(address)->Send(bytes)) {
    bytes_ += bytes.size();
    return Ok();
  }
  return Error{ErrorType::kPeerUnreachable, address};
}

void PeerChannel::Impl::Retain(const std::vector<std::string>& addresses) {
  std::vector<std::shared_ptr<PeerSocket>> closing;
  std::lock_guard lock(mutex_);
  std::erase_if(sockets_, [&](auto& entry) {
    const bool keep = std::find(addresses.begin(), addresses.end(),
                                entry.first) != addresses.end();
    if (!keep) closing.push_back(std::move(entry.second));
    return !keep;
  });
}

void PeerChannel::Impl::Stop() {
  if (listening_) nng_close(pull_);
  listening_ = false;
  if (aio_ != nullptr) {
    nng_aio_stop(aio_);
    nng_aio_free(aio_);
    aio_ = nullptr;
  }
  std::lock_guard lock(mutex_);
  sockets_.clear();
}

PeerChannel::PeerChannel(Options options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
PeerChannel::~PeerChannel() = default;
Result<void> PeerChannel::Start() { return impl_->Start(); }
Result<void> PeerChannel::Send(const std::string& address,
                               std::string_view bytes) {
  return impl_->Send(address, bytes);
}
void PeerChannel::Prepare(const std::string& address) {
  impl_->SocketTo(address);
}
void PeerChannel::Retain(const std::vector<std::string>& addresses) {
  impl_->Retain(addresses);
}
void PeerChannel::Stop() { impl_->Stop(); }
std::uint64_t PeerChannel::bytes() const { return impl_->bytes(); }

}  // namespace lacewingknot
