#ifndef ARBUTUS_NET_PEER_LINK_H
#define ARBUTUS_NET_PEER_LINK_H

#include "base/clock.h"
#include "net/peer_mesh.h"
#include <nng/nng.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace arbutus::net::impl {

/// Calls `nng_msg_free`.
struct message_deleter {
  void operator()(nng_msg *Message) const noexcept { nng_msg_free(Message); }
};
using message_pointer = std::unique_ptr<nng_msg, message_deleter>;

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

/// One PUSH socket with one dialer and a bounded queue in front of it. The
/// queue is ours because that of nng is bounded in frames, not in bytes.
class peer_link {
public:
  /// Starts dialing. Throws `std::runtime_error` when nng refuses the address
  /// or has no resources.
  peer_link(mesh_peer Peer, link_context &Context);
  ~peer_link();
  peer_link(const peer_link &) = delete;
  peer_link &operator=(const peer_link &) = delete;

  /// Queues a frame or says that the queue is full. Frames reach the peer in
  /// the order of these calls. May throw `std::bad_alloc`.
  send_outcome send(message_kind Kind, std::string_view Payload);

  /// Replaces the dialer and its connection when frames were sent during the
  /// last `Silence` without any frame from the peer.
  void redialIfSilent(instant LastReceived, instant Now, duration Silence);

  [[nodiscard]] const mesh_peer &peer() const noexcept { return Peer; }

private:
  void dial();
  void sendNext();
  static void onSent(void *Self) noexcept;

  const mesh_peer Peer;
  link_context &Context;
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  nng_dialer Dialer = NNG_DIALER_INITIALIZER;
  nng_aio *Aio = nullptr;
  instant DialedAt;
  std::atomic<bool> Used = false;

  std::mutex Mutex;
  std::deque<message_pointer> Queue;
  std::size_t QueuedBytes = 0;
  bool InFlight = false;
  bool Closed = false;
};

} // namespace arbutus::net::impl

#endif
