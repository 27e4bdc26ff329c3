#ifndef ARBUTUS_TRAFFIC_EVENT_SPLITTER_H
#define ARBUTUS_TRAFFIC_EVENT_SPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::traffic {

/// Divides the bytes of an upstream's event stream into whole events, so that
/// a caller never gets a part of one and a broken stream can go on at another
/// upstream after the last event that was passed on. Survives the upstream's
/// connection: the stream goes on in the same object after `restart`.
class event_splitter {
public:
  /// Takes bytes and returns the whole events among them, as they came. Events
  /// that were returned before a restart are left out when they come again.
  [[nodiscard]] std::string feed(std::string_view Bytes);

  /// Returns bytes behind the last whole event, at the end of a complete
  /// answer.
  [[nodiscard]] std::string takeRest();

  /// Forgets a half-received event before the stream goes on elsewhere.
  void restart() noexcept { Buffer.clear(); }

  /// Id of the last event returned; nothing before the first one.
  [[nodiscard]] std::optional<std::uint64_t> lastId() const noexcept {
    return LastId;
  }
  /// False once an event without an id, or bytes that are no events, were
  /// returned: nobody knows then where to go on.
  [[nodiscard]] bool resumable() const noexcept { return Resumable; }

private:
  void takeEvent(std::string_view Event, std::string &Whole);

  std::string Buffer;
  std::optional<std::uint64_t> LastId;
  bool Resumable = true;
};

} // namespace arbutus::traffic

#endif
