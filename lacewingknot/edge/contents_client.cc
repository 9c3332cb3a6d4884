#include "lacewingknot/edge/contents_client.h"

#include <boost/asio/post.hpp>
#include <limits>
#include <sstream>

#include "lacewingknot/edge/internal/contents_link.h"
#include "lacewingknot/net/http_connection.h"

namespace lacewingknot::edge {

namespace asio = boost::asio;

std::string ContentsAddress(std::string_view address) {
  auto endpoint = ParseEndpoint(address);
  constexpr auto kMaxPort = std::numeric_limits<std::uint16_t>::max();
  if (!endpoint || endpoint.value().port() == 0 ||
      endpoint.value().port() == kMaxPort) {
    return {};
  }
  endpoint.value().port(
      static_cast<std::uint16_t>(endpoint.value().port() + 1));
  std::ostringstream text;
  text << endpoint.value();
  return text.str();
}

void ContentsClient::SetPeer(const std::string& address) {
  if (address == peer_) return;
  Close();
  peer_ = address;
  if (!peer_.empty()) Open();
}

void ContentsClient::Reopen() {
  Close();
  if (!peer_.empty()) Open();
}

void ContentsClient::Open() {
  const std::uint64_t number = number_;
  const auto endpoint = ParseEndpoint(ContentsAddress(peer_));
  if (!endpoint) {
    // The address comes from a peer and may be malformed.
    asio::post(*options_.io, [this, number] {
      if (number == number_) options_.on_closed("lost");
    });
    return;
  }
  connecting_ = std::make_shared<asio::ip::tcp::socket>(*options_.io);
  connecting_->async_connect(
      endpoint.value(),
      [this, number, socket = connecting_](boost::system::error_code error) {
        if (number != number_) return;
        connecting_ = nullptr;
        if (error) {
          options_.on_closed("lost");
          return;
        }
        link_ = std::make_shared<internal::ContentsLink>(
            std::move(*socket),
            internal::ContentsLink::Options{
                .on_message =
                    [this, number](ContentsMessage message) {
                      if (number != number_) return;
                      options_.on_message(std::move(message));
                    },
                .on_closed =
                    [this, number](std::string_view cause) {
                      if (number != number_) return;
                      link_ = nullptr;
                      options_.on_closed(cause);
                    }});
        link_->Start();
        link_->Send(std::make_shared<const std::string>(
            EncodeContentsFrame(options_.make_request())));
        options_.on_opened();
      });
}

void ContentsClient::Close() {
  ++number_;
  if (connecting_) {
    boost::system::error_code ignored;  // The socket is discarded either way.
    connecting_->close(ignored);
    connecting_ = nullptr;
  }
  if (link_) std::exchange(link_, nullptr)->Close();
}

}  // namespace lacewingknot::edge
