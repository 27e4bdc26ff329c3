#ifndef ARBUTUS_NET_PEER_LINK_H
#define ARBUTUS_NET_PEER_LINK_H

#include "base/clock.h"
#include "net/peer_mesh.h"
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::net::impl {

/// Parses `ip:port`. Throws `std::runtime_error` with the text if it is not an
/// address.
[[nodiscard]] asio::ip::tcp::endpoint meshEndpoint(const std::string &Address);

/// What all links of one mesh share.
struct link_context {
  node_id Self{};
  std::atomic<incarnation> Incarnation{};
  std::string FleetKey;
  std::size_t QueueFrames = 0;
  std::size_t QueueBytes = 0;
  /// One sequence for all links, so that a peer that is removed and added
  /// again does not see old numbers.
  std::atomic<std::uint64_t> Sequence = 0;
};

/// The connection to one peer, which only this node writes to, and a bounded
/// queue in front of it. A frame is written on the thread that sends it when
/// the connection takes it at once, which saves a change of threads. Safe from
/// any thread; a mutex guards the socket, because callbacks run on the thread
/// of the io_context.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
  /// Throws `std::runtime_error` if the peer's address is not `ip:port`.
  peer_link(asio::io_context &Io, mesh_peer Peer, link_context &Context);
  peer_link(const peer_link &) = delete;
  peer_link &operator=(const peer_link &) = delete;
  ~peer_link() = default;

  /// Starts dialing, and dials again whenever the connection ends.
  void start();

  /// Queues a frame or says that the queue is full. Frames reach the peer in
  /// the order of these calls. May throw `std::bad_alloc`.
  send_outcome send(message_kind Kind, std::string_view Payload);

  /// Replaces the connection when frames were sent during the last `Silence`
  /// without any frame from the peer.
  void redialIfSilent(instant LastReceived, instant Now, duration Silence);

  /// Replaces a connection that was dialed at least `Age` ago.
  void redialIfOlder(instant Now, duration Age);

  [[nodiscard]] const mesh_peer &peer() const noexcept { return Peer; }

private:
  enum class link_state { Waiting, Connecting, Connected };
  /// Calls `Next` on this link under its mutex, unless the link is gone or has
  /// dialed again since.
  template <class Function> auto ifCurrent(Function Next);

  void dial();
  void onConnected(const asio::error_code &Error);
  void watchForClose();
  void writeQueue();
  void waitWritable();
  void dropConnection(std::string_view Reason);
  void dialLater();

  const mesh_peer Peer;
  const asio::ip::tcp::endpoint Endpoint;
  link_context &Context;
  /// Set by each frame that is sent and cleared by each redial.
  std::atomic<bool> Used = false;

  std::mutex Mutex;
  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  link_state State = link_state::Waiting;
  /// Counts dials, so that callbacks of an older connection do nothing.
  std::uint64_t Dials = 0;
  instant DialedAt;
  /// When an established connection was lost, until there is another.
  std::optional<instant> LostAt;
  duration Backoff;
  bool AwaitingRoom = false;
  std::deque<std::string> Queue;
  std::size_t QueuedBytes = 0;
  /// Bytes of the first queued frame that the kernel has taken.
  std::size_t Written = 0;
};

} // namespace arbutus::net::impl

#endif
