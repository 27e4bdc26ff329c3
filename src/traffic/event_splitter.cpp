#include "traffic/event_splitter.h"

#include <charconv>

namespace arbutus::traffic {

namespace {

/// Maximum size of an event. It is buffered until it is complete.
constexpr std::size_t MaxEventBytes = std::size_t{256} << 10U;

/// The number in the `id` field of an event.
std::optional<std::uint64_t> idOf(std::string_view Event) {
  static constexpr std::string_view Field = "id:";
  while (!Event.empty()) {
    const auto End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(End == std::string_view::npos ? Event.size() : End + 1);
    if (Line.substr(0, Field.size()) != Field) {
      continue;
    }
    Line.remove_prefix(Field.size());
    if (Line.substr(0, 1) == " ") {
      Line.remove_prefix(1);
    }
    std::uint64_t Id = 0;
    const auto Parsed =
        std::from_chars(Line.data(), Line.data() + Line.size(), Id);
    return Parsed.ec == std::errc() ? std::optional(Id) : std::nullopt;
  }
  return std::nullopt;
}

} // namespace

std::string event_splitter::append(std::string_view Bytes) {
  if (TooLong) {
    return {};
  }
  std::string Events;
  Buffer.append(Bytes, [this, &Events](std::string_view Event) {
    emitEvent(Event, Events);
  });
  if (Buffer.partial().size() > MaxEventBytes) {
    TooLong = true;
    Buffer.clear();
  }
  return Events;
}

std::string event_splitter::flush() {
  Resumable = Resumable && Buffer.partial().empty();
  return Buffer.take();
}

void event_splitter::emitEvent(std::string_view Event, std::string &Events) {
  const auto Id = idOf(Event);
  if (Id && LastId && *Id <= *LastId) {
    return; // already forwarded before the stream was resumed
  }
  if (Id) {
    LastId = Id;
  } else {
    Resumable = false;
  }
  Events += Event;
}

} // namespace arbutus::traffic
