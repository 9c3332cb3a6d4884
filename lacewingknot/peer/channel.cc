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

// A PUSH socket that dials one peer in the background and reconnects when the
// connection breaks. Counts its connections, so that Send can fail at once
// instead of queueing a message for a peer that is not connected.
class PeerSocket {
 public:
  explicit PeerSocket(const std::string& address) {
    if (nng_push0_open(&socket_) != 0) return;
    is_open_ = true;
    nng_setopt_int(socket_, NNG_OPT_SENDBUF, kSendBufferMessages);
    nng_setopt_ms(socket_, NNG_OPT_RECONNMINT, kMinReconnectMs);
    nng_setopt_ms(socket_, NNG_OPT_RECONNMAXT, kMaxReconnectMs);
    nng_pipe_notify(socket_, NNG_PIPE_EV_ADD_POST, &PeerSocket::OnPipeEvent,
                    this);
    nng_pipe_notify(socket_, NNG_PIPE_EV_REM_POST, &PeerSocket::OnPipeEvent,
                    this);
    const std::string url = "tcp://" + address;
    nng_dial(socket_, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
  }

  ~PeerSocket() {
    if (is_open_) nng_close(socket_);
  }

  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  // False if the peer is not connected or the send buffer is full; the message
  // is then not sent.
  bool Send(std::string_view bytes) {
    if (!is_open_ || pipe_count_.load() == 0) return false;
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0) return false;
    nng_msg_append(message, bytes.data(), bytes.size());
    if (nng_sendmsg(socket_, message, NNG_FLAG_NONBLOCK) == 0) return true;
    nng_msg_free(message);
    return false;
  }

 private:
  static void OnPipeEvent(nng_pipe, nng_pipe_ev event, void* self) {
    auto* socket = static_cast<PeerSocket*>(self);
    socket->pipe_count_ += event == NNG_PIPE_EV_ADD_POST ? 1 : -1;
  }

  nng_socket socket_{};
  bool is_open_ = false;
  std::atomic<int> pipe_count_{0};
};

}  // namespace

class PeerChannel::Impl {
 public:
  explicit Impl(Options options) : options_(std::move(options)) {}
  ~Impl() { Stop(); }

  Result<void> Start();
  Result<void> Send(const std::string& address, std::string_view bytes);
  std::shared_ptr<PeerSocket> FindOrOpenSocket(const std::string& address);
  void CloseAllExcept(const std::vector<std::string>& addresses);
  void Stop();
  std::uint64_t bytes() const { return byte_count_.load(); }

 private:
  static void OnReceive(void* self);

  Options options_;
  nng_socket pull_{};
  nng_aio* aio_ = nullptr;
  bool is_listening_ = false;
  std::atomic<std::uint64_t> byte_count_{0};
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<PeerSocket>> sockets_;
};

Result<void> PeerChannel::Impl::Start() {
  const auto to_error = [](int code) {
    return Error{ErrorType::kPeerUnreachable, nng_strerror(code)};
  };
  if (const int code = nng_pull0_open(&pull_); code != 0) return to_error(code);
  nng_setopt_size(pull_, NNG_OPT_RECVMAXSZ, kMaxPeerMessageBytes);
  const std::string url = "tcp://" + options_.listen;
  if (const int code = nng_listen(pull_, url.c_str(), nullptr, 0); code != 0) {
    nng_close(pull_);
    return to_error(code);
  }
  is_listening_ = true;
  if (const int code = nng_aio_alloc(&aio_, &Impl::OnReceive, this);
      code != 0) {
    return to_error(code);
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
    impl->byte_count_ += nng_msg_len(message);
    impl->options_.on_message({static_cast<const char*>(nng_msg_body(message)),
                               nng_msg_len(message)});
    nng_msg_free(message);
  }
  nng_recv_aio(impl->pull_, impl->aio_);
}

std::shared_ptr<PeerSocket> PeerChannel::Impl::FindOrOpenSocket(
    const std::string& address) {
  std::lock_guard lock(mutex_);
  std::shared_ptr<PeerSocket>& socket = sockets_[address];
  if (socket == nullptr) socket = std::make_shared<PeerSocket>(address);
  return socket;
}

Result<void> PeerChannel::Impl::Send(const std::string& address,
                                     std::string_view bytes) {
  if (FindOrOpenSocket(address)->Send(bytes)) {
    byte_count_ += bytes.size();
    return Ok();
  }
  return Error{ErrorType::kPeerUnreachable, address};
}

void PeerChannel::Impl::CloseAllExcept(
    const std::vector<std::string>& addresses) {
  // Declared before `lock`, so that the sockets close after it is released.
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
  if (is_listening_) nng_close(pull_);
  is_listening_ = false;
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
void PeerChannel::StartConnecting(const std::string& address) {
  impl_->FindOrOpenSocket(address);
}
void PeerChannel::CloseAllExcept(const std::vector<std::string>& addresses) {
  impl_->CloseAllExcept(addresses);
}
void PeerChannel::Stop() { impl_->Stop(); }
std::uint64_t PeerChannel::byte_count() const { return impl_->bytes(); }

}  // namespace lacewingknot
