#include "net/peer_link.h"

#include "net/mesh_frame.h"
#include "net/socket_close.h"
#include <nng/protocol/pipeline0/push.h>

#include <new>
#include <stdexcept>

namespace arbutus::net::impl {

namespace {

/// Short enough that a restarted peer is reached well within one heartbeat
/// period of 300 ms.
constexpr nng_duration LeastReconnectMillis = 10;
constexpr nng_duration MostReconnectMillis = 200;

void check(int Status, const std::string &Address) {
  if (Status != 0) {
    throw std::runtime_error(Address + ": " + nng_strerror(Status));
  }
}

} // namespace

peer_link::peer_link(mesh_peer Peer, link_context &Context)
    : Peer(std::move(Peer)), Context(Context) {
  const auto &Address = this->Peer.Address;
  check(nng_push0_open(&Socket), Address);
  try {
    check(nng_aio_alloc(&Aio, onSent, this), Address);
    nng_aio_set_timeout(Aio, NNG_DURATION_INFINITE);
    dial();
  } catch (...) {
    nng_close(Socket);
    nng_aio_free(Aio);
    throw;
  }
}

peer_link::~peer_link() {
  {
    const std::lock_guard Lock(Mutex);
    Closed = true;
  }
  nng_aio_stop(Aio);
  closeSocket(Socket);
  nng_aio_free(Aio);
}

send_outcome peer_link::send(message_kind Kind, std::string_view Payload) {
  Used = true;
  std::unique_lock Lock(Mutex);
  const std::size_t Bytes = FrameOverheadBytes + Payload.size();
  if (!Queue.empty() && (Queue.size() >= Context.QueueFrames ||
                         QueuedBytes + Bytes > Context.QueueBytes)) {
    return send_outcome::QueueFull;
  }
  // The sequence is taken under the lock, so that it grows along the queue.
  const auto Frame =
      buildFrame({Kind, Context.Self, Peer.Node, Context.Incarnation.load(),
                  ++Context.Sequence},
                 Payload, Context.FleetKey);
  nng_msg *Allocated = nullptr;
  if (nng_msg_alloc(&Allocated, 0) != 0) {
    throw std::bad_alloc();
  }
  message_pointer Message(Allocated);
  if (nng_msg_append(Allocated, Frame.data(), Frame.size()) != 0) {
    throw std::bad_alloc();
  }
  Queue.push_back(std::move(Message));
  QueuedBytes += Bytes;
  const bool Start = !InFlight;
  InFlight = true;
  Lock.unlock();
  if (Start) {
    sendNext();
  }
  return send_outcome::Queued;
}

void peer_link::redialIfSilent(instant LastReceived, instant Now,
                               duration Silence) {
  if (Now - LastReceived < Silence || Now - DialedAt < Silence ||
      !Used.exchange(false)) {
    return;
  }
  nng_dialer_close(Dialer);
  dial();
}

void peer_link::dial() {
  const std::string Url = "tcp://" + Peer.Address;
  check(nng_dialer_create(&Dialer, Socket, Url.c_str()), Peer.Address);
  check(nng_dialer_set_ms(Dialer, NNG_OPT_RECONNMINT, LeastReconnectMillis),
        Peer.Address);
  check(nng_dialer_set_ms(Dialer, NNG_OPT_RECONNMAXT, MostReconnectMillis),
        Peer.Address);
  check(nng_dialer_start(Dialer, NNG_FLAG_NONBLOCK), Peer.Address);
  DialedAt = monotonic_clock::now();
}

/// Hands the first frame to nng. Only the holder of `InFlight` calls this.
void peer_link::sendNext() {
  nng_msg *Message = nullptr;
  {
    const std::lock_guard Lock(Mutex);
    if (Queue.empty() || Closed) {
      InFlight = false;
      return;
    }
    Message = Queue.front().release();
    QueuedBytes -= nng_msg_len(Message);
    Queue.pop_front();
  }
  nng_aio_set_msg(Aio, Message);
  nng_send_aio(Socket, Aio);
}

void peer_link::onSent(void *Self) noexcept {
  auto &Link = *static_cast<peer_link *>(Self);
  if (nng_aio_result(Link.Aio) != 0) {
    // A frame that nng did not take stays with the aio.
    nng_msg_free(nng_aio_get_msg(Link.Aio));
    nng_aio_set_msg(Link.Aio, nullptr);
  }
  Link.sendNext();
}

} // namespace arbutus::net::impl
