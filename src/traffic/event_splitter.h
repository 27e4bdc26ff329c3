#ifndef ARBUTUS_TRAFFIC_EVENT_SPLITTER_H
#define ARBUTUS_TRAFFIC_EVENT_SPLITTER_H

#include "net/event_buffer.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::traffic {

/// Splits an upstream's event stream (text/event-stream) into complete events,
/// so that a caller never receives a partial event and a broken stream can
/// resume at another upstream after the last event that was forwarded. One
/// object serves all attempts of a request; `discardPartial` is called between
/// them.
class event_splitter {
public:
  /// Adds bytes and returns the complete events among them, unchanged. Events
  /// with an id that was already returned are dropped. Returns nothing more
  /// once `isTooLong`.
  [[nodiscard]] std::string append(std::string_view Bytes);

  /// Returns the bytes after the last complete event, at the end of a complete
  /// response.
  [[nodiscard]] std::string flush();

  /// Drops a partially received event before the stream resumes at another
  /// upstream.
  void discardPartial() noexcept {
    Buffer.clear();
    TooLong = false;
  }

  /// True once an event exceeds the buffer limit: what the upstream sends is no
  /// event stream.
  [[nodiscard]] bool isTooLong() const noexcept { return TooLong; }

  /// True while a part of an event was received and not its end. A stream that
  /// ends there was broken off.
  [[nodiscard]] bool hasPartialEvent() const noexcept {
    return Buffer.partial().find_first_not_of("\r\n") != std::string_view::npos;
  }

  /// Id of the last event returned; nothing before the first.
  [[nodiscard]] std::optional<std::uint64_t> lastId() const noexcept {
    return LastId;
  }
  /// False once an event without an id or an incomplete event was returned: the
  /// position to resume from is unknown then.
  [[nodiscard]] bool resumable() const noexcept { return Resumable; }

  /// Returns the work since the last call of this function.
  [[nodiscard]] read_work takeWork() noexcept { return Buffer.takeWork(); }

private:
  void emitEvent(std::string_view Event, std::string &Events);

  net::event_buffer Buffer;
  std::optional<std::uint64_t> LastId;
  bool Resumable = true;
  bool TooLong = false;
};

} // namespace arbutus::traffic

#endif
