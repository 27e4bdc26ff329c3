#ifndef ARBUTUS_NET_EVENT_BUFFER_H
#define ARBUTUS_NET_EVENT_BUFFER_H

#include "base/piece_buffer.h"
#include "base/read_work.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace arbutus::net {

/// Receives one whole event with the empty line that ends it. The bytes are
/// valid during the call only.
using event_function = std::function<void(std::string_view Event)>;

/// Finds the events of a stream (text/event-stream) whose bytes arrive in
/// pieces. Lines end with LF or CRLF, and an empty line ends an event. The work
/// for a byte does not depend on the pieces or on the length of the event.
class event_buffer {
public:
  /// Takes the next bytes of the stream and passes on the events that are
  /// whole, in order.
  void append(std::string_view Bytes, const event_function &OnEvent);

  /// Drops the event that has begun.
  void clear() noexcept;

  /// Moves out the bytes of the event that has begun.
  [[nodiscard]] std::string take() noexcept;

  /// Bytes of the event that has begun.
  [[nodiscard]] std::string_view partial() const noexcept {
    return Partial.kept();
  }

  /// Returns the work since the last call of this function.
  [[nodiscard]] read_work takeWork() noexcept;

private:
  /// Returns the offset after the first event, or npos. The bytes before `From`
  /// were searched before.
  [[nodiscard]] std::size_t findEnd(std::string_view Bytes, std::size_t From);

  piece_buffer Partial;
  read_work Work;
};

} // namespace arbutus::net

#endif
