#ifndef ARBUTUS_NET_MESH_LISTENER_H
#define ARBUTUS_NET_MESH_LISTENER_H

#include "net/connection_acceptor.h"
#include "net/frame_stream.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::net::impl {

/// Accepts connections of other nodes and reads their frames. Callbacks run on
/// the thread that runs the io_context.
class mesh_listener {
public:
  /// Gets a frame and whether it is the first one on its connection.
  using frame_receiver =
      std::function<void(std::string_view Frame, bool IsFirst)>;

  /// Starts listening. Throws `std::system_error` when the address cannot be
  /// used. `OnTooLong` is called when a peer announces a frame beyond the
  /// limit; its connection is then closed.
  mesh_listener(asio::io_context &Io, const asio::ip::tcp::endpoint &At,
                frame_receiver OnFrame, std::function<void()> OnTooLong);

  /// `ip:port`, with the port that the system chose.
  [[nodiscard]] std::string address() const;

private:
  struct incoming;

  void onAccepted(asio::ip::tcp::socket Socket);
  void waitReadable(const std::shared_ptr<incoming> &From);
  /// False when the connection has ended.
  [[nodiscard]] bool readSome(incoming &From);

  connection_acceptor Acceptor;
  frame_receiver OnFrame;
  std::function<void()> OnTooLong;
  /// Shared by all connections, which are read one at a time.
  std::vector<char> Buffer;
};

} // namespace arbutus::net::impl

#endif
