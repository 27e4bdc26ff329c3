#ifndef ARBUTUS_NET_CLIENT_CONNECTION_H
#define ARBUTUS_NET_CLIENT_CONNECTION_H

#include "net/answer_parser.h"
#include "net/http_call.h"
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::net::impl {

/// How a connection ended its call, and whether it can serve another one.
struct call_end {
  call_outcome Outcome{};
  /// Set when the connection may be used again, until this instant.
  std::optional<instant> ReusableUntil;
};

/// How far a call's request was written.
enum class write_state {
  Running, ///< not to its end yet
  Done,    ///< the whole request was handed to the kernel
  Failed,  ///< the connection's error was reported to the write
};

/// One connection to a server and at most one call on it at a time. A request
/// is written once and never repeated, so a call that may not run twice can
/// use a kept connection. Use it on the thread that runs the io_context only.
class client_connection
    : public std::enable_shared_from_this<client_connection> {
public:
  using end_function = std::function<void(const call_end &)>;
  /// Called when an idle connection is closed by the server, or when it sends
  /// bytes that no call is waiting for.
  using idle_end_function = std::function<void()>;

  client_connection(asio::io_context &Io, asio::ip::tcp::endpoint Server);
  client_connection(const client_connection &) = delete;
  client_connection &operator=(const client_connection &) = delete;

  /// Starts a call on a new or an idle connection. `OnEnd` follows from the
  /// event loop, exactly once, unless `close` is called before.
  void start(http_call Call, end_function OnEnd);

  /// Waits for the server while no call runs.
  void waitIdle(instant Until, idle_end_function OnIdleEnd);

  /// Ends the running call with this outcome and closes the socket.
  void abandon(call_outcome Outcome) { end(Outcome); }

  /// Closes the socket. No callback of this object runs afterwards.
  void close() noexcept;

  [[nodiscard]] instant idleUntil() const noexcept { return IdleUntil; }

private:
  void connect();
  void armCallTimer();
  void write();
  void read();
  void onReadable(asio::error_code Error);
  void onRead(std::string_view Bytes);
  /// Logs a read that kept the event loop from other connections for long.
  void logLongRead(std::size_t Bytes, duration Time) const;
  /// How a call ends whose answer is not read to its end.
  [[nodiscard]] call_outcome brokenOutcome() const noexcept;
  void onReadEnd(const asio::error_code &Error);
  void onServerClosed();
  void onIdleRead();
  void end(call_outcome Outcome);
  [[nodiscard]] std::optional<instant> reusableUntil() const;

  asio::ip::tcp::socket Socket;
  asio::ip::tcp::endpoint Server;
  asio::steady_timer Timer;
  std::array<char, 16384> Buffer{};

  http_call Call;
  answer_parser Answer;
  end_function OnEnd;
  idle_end_function OnIdleEnd;
  std::string RequestHead;
  instant IdleUntil{};
  instant Deadline{};

  bool Connected = false;
  bool Reading = false;
  write_state Write = write_state::Running;
  bool AnySent = false; ///< some of the request was handed to the kernel
  bool Stray = false;   ///< bytes arrived that belong to no call
  bool Closed = false;
};

} // namespace arbutus::net::impl

#endif
