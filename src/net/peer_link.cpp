#include "net/peer_link.h"

#include "base/log.h"
#include "net/frame_stream.h"
#include "net/mesh_frame.h"
#include <asio/buffer.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace arbutus::net::impl {

namespace {

/// Short enough that a restarted peer is reached well within one heartbeat
/// period of 300 ms.
constexpr duration LeastBackoff = 10ms;
constexpr duration MostBackoff = 200ms;
/// A machine without power answers no connection attempt; the kernel's own
/// retries come seconds apart.
constexpr duration ConnectTimeout = 1s;
/// Frames that one system call writes.
constexpr std::size_t FramesPerWrite = 16;

} // namespace

asio::ip::tcp::endpoint meshEndpoint(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  asio::error_code Error;
  const auto Ip = asio::ip::make_address(Address.substr(0, Colon), Error);
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  const bool Valid = Colon != std::string::npos && !Error;
  if (!Valid ||
      std::from_chars(Address.data() + Colon + 1, End, Port).ptr != End) {
    throw std::runtime_error("not an address: " + Address);
  }
  return {Ip, Port};
}

template <class Function> auto peer_link::ifCurrent(Function Next) {
  return [Weak = weak_from_this(), Dial = Dials,
          Next](const asio::error_code &Error) {
    const auto Strong = Weak.lock();
    if (!Strong) {
      return;
    }
    const std::lock_guard Lock(Strong->Mutex);
    if (Strong->Dials == Dial) {
      Next(*Strong, Error);
    }
  };
}

peer_link::peer_link(asio::io_context &Io, mesh_peer Peer,
                     link_context &Context)
    : Peer(std::move(Peer)), Endpoint(meshEndpoint(this->Peer.Address)),
      Context(Context), Socket(Io), Timer(Io), Backoff(LeastBackoff) {}

void peer_link::start() {
  const std::lock_guard Lock(Mutex);
  dial();
}

send_outcome peer_link::send(message_kind Kind, std::string_view Payload) {
  Used = true;
  const std::lock_guard Lock(Mutex);
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
  Queue.push_back(withLength(Frame));
  QueuedBytes += Queue.back().size();
  if (State == link_state::Connected && !AwaitingRoom) {
    writeQueue();
  }
  return send_outcome::Queued;
}

void peer_link::redialIfSilent(instant LastReceived, instant Now,
                               duration Silence) {
  const std::lock_guard Lock(Mutex);
  if (Now - LastReceived < Silence || Now - DialedAt < Silence ||
      !Used.exchange(false)) {
    return;
  }
  dropConnection("silent");
  dial();
}

void peer_link::redialIfOlder(instant Now, duration Age) {
  const std::lock_guard Lock(Mutex);
  if (State != link_state::Connected || Now - DialedAt < Age) {
    return;
  }
  dropConnection("peer dialed anew");
  dial();
}

/// Starts a connection attempt. Like all functions below, only for the holder
/// of `Mutex`.
void peer_link::dial() {
  State = link_state::Connecting;
  ++Dials;
  DialedAt = monotonic_clock::now();
  Socket.async_connect(Endpoint, ifCurrent([](auto &Link, const auto &Error) {
                         Link.onConnected(Error);
                       }));
  Timer.expires_after(ConnectTimeout);
  Timer.async_wait(ifCurrent([](auto &Link, const auto &Error) {
    if (!Error && Link.State == link_state::Connecting) {
      Link.dropConnection("connect timeout");
      Link.dialLater();
    }
  }));
}

void peer_link::onConnected(const asio::error_code &Error) {
  asio::error_code Failed = Error;
  if (!Failed) {
    Socket.set_option(asio::ip::tcp::no_delay(true), Failed);
  }
  if (!Failed) {
    Socket.non_blocking(true, Failed);
  }
  if (Failed) {
    dropConnection(Failed.message());
    dialLater();
    return;
  }
  Timer.cancel();
  State = link_state::Connected;
  Backoff = LeastBackoff;
  if (LostAt) {
    logEvent(log_level::Info, "mesh_peer_regained",
             {{"peer", number(Peer.Node)},
              {"after_us", toMicros(monotonic_clock::now() - *LostAt)}});
    LostAt.reset();
  }
  watchForClose();
  writeQueue();
}

/// The peer writes nothing on this connection, so that it gets readable only
/// when it ends.
void peer_link::watchForClose() {
  Socket.async_wait(
      asio::ip::tcp::socket::wait_read, ifCurrent([](auto &Link, const auto &) {
        asio::error_code Error;
        std::array<char, 1> Unexpected{};
        Link.Socket.read_some(asio::buffer(Unexpected), Error);
        if (Error == asio::error::would_block) {
          Link.watchForClose();
          return;
        }
        Link.dropConnection(Error ? Error.message() : "unexpected bytes");
        Link.dialLater();
      }));
}

void peer_link::writeQueue() {
  while (!Queue.empty()) {
    std::vector<asio::const_buffer> Buffers;
    const std::size_t Count = std::min(Queue.size(), FramesPerWrite);
    for (std::size_t I = 0; I < Count; ++I) {
      Buffers.push_back(asio::buffer(Queue[I]));
    }
    Buffers.front() += Written;
    asio::error_code Error;
    Written += Socket.write_some(Buffers, Error);
    if (Error == asio::error::would_block) {
      waitWritable();
      return;
    }
    if (Error) {
      dropConnection(Error.message());
      dialLater();
      return;
    }
    while (!Queue.empty() && Written >= Queue.front().size()) {
      Written -= Queue.front().size();
      QueuedBytes -= Queue.front().size();
      Queue.pop_front();
    }
  }
}

void peer_link::waitWritable() {
  AwaitingRoom = true;
  Socket.async_wait(asio::ip::tcp::socket::wait_write,
                    ifCurrent([](auto &Link, const auto &) {
                      Link.AwaitingRoom = false;
                      Link.writeQueue(); // finds out whether there is an error
                    }));
}

/// Closes the socket. The rest of a frame that was sent in part is dropped:
/// it would have no beginning on the next connection.
void peer_link::dropConnection(std::string_view Reason) {
  if (State == link_state::Connected) {
    LostAt = monotonic_clock::now();
    logEvent(log_level::Info, "mesh_peer_lost",
             {{"peer", number(Peer.Node)}, {"reason", Reason}});
  }
  asio::error_code Ignored; // the socket is gone either way
  Socket.close(Ignored);
  Timer.cancel();
  ++Dials;
  State = link_state::Waiting;
  AwaitingRoom = false;
  if (Written > 0) {
    QueuedBytes -= Queue.front().size();
    Queue.pop_front();
    Written = 0;
  }
}

void peer_link::dialLater() {
  Timer.expires_after(Backoff);
  Timer.async_wait(ifCurrent([](auto &Link, const auto &Error) {
    if (!Error) {
      Link.dial();
    }
  }));
  Backoff = std::min(2 * Backoff, MostBackoff);
}

} // namespace arbutus::net::impl
