#ifndef ARBUTUS_NET_CONNECTION_ACCEPTOR_H
#define ARBUTUS_NET_CONNECTION_ACCEPTOR_H

#include "base/clock.h"
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace arbutus::net {

/// A listener that hands over each new connection. It empties the kernel's
/// queue in one turn of the event loop, since a caller whose connection waits
/// there gives up unheard, and it goes on after an error such as a lack of
/// descriptors. Use it on the thread that runs the io_context only.
class connection_acceptor {
public:
  using socket_function = std::function<void(asio::ip::tcp::socket)>;
  /// Empty to take the next connection; otherwise the bytes that it gets
  /// before it is closed unread.
  using admit_function = std::function<std::optional<std::string>()>;

  /// Starts listening. Throws `std::system_error` when the address cannot be
  /// used. With `ReusePort`, several listeners may share the port. Without
  /// `Admit`, every connection is taken.
  connection_acceptor(asio::io_context &Io, const asio::ip::tcp::endpoint &At,
                      bool ReusePort, socket_function OnSocket,
                      admit_function Admit = {});

  /// Address of the listener, with the port that the system chose.
  [[nodiscard]] asio::ip::tcp::endpoint endpoint() const;

  connection_acceptor(const connection_acceptor &) = delete;
  connection_acceptor &operator=(const connection_acceptor &) = delete;
  ~connection_acceptor();

  /// Stops listening. Connections that wait in the kernel are reset.
  void close() noexcept;

private:
  void waitForConnections();
  void acceptWaiting();
  void take(int Descriptor);
  void refuse(int Descriptor, const std::string &Answer);
  void closeRefused(instant Now) noexcept;
  void armClosing();
  void pause();

  asio::ip::tcp Protocol;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer PauseTimer;
  asio::steady_timer ClosingTimer;
  socket_function OnSocket;
  admit_function Admit;
  /// Refused connections and when to close them. Closed at once, they would be
  /// reset for the request that was not read, and the answer with them.
  std::deque<std::pair<int, instant>> Refused;
};

} // namespace arbutus::net

#endif
