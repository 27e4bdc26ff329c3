#include "traffic/event_splitter.h"

#include <charconv>
#include <utility>

namespace arbutus::traffic {

namespace {

/// Maximum size of an event. It is buffered until it is complete.
constexpr std::size_t MaxEventBytes = std::size_t{256} << 10U;

/// Offset after the empty line that ends an event.
struct event_end {
  std::size_t Offset = std::string_view::npos;
};

event_end findEventEnd(std::string_view Bytes) {
  // An empty line is "\n\n" or, with CRLF line ends, "\n\r\n".
  for (auto Line = Bytes.find('\n'); Line != std::string_view::npos;
       Line = Bytes.find('\n', Line + 1)) {
    const std::string_view Next = Bytes.substr(Line + 1);
    if (Next.substr(0, 1) == "\n") {
      return {Line + 2};
    }
    if (Next.substr(0, 2) == "\r\n") {
      return {Line + 3};
    }
  }
  return {};
}

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
  Buffer += Bytes;
  Work.ReceivedBytes += Bytes.size();
  std::string Events;
  std::string_view Rest = Buffer;
  for (auto End = findEventEnd(Rest); End.Offset != std::string_view::npos;
       End = findEventEnd(Rest)) {
    emitEvent(Rest.substr(0, End.Offset), Events);
    Rest.remove_prefix(End.Offset);
    Work.SearchedBytes += End.Offset;
  }
  Work.SearchedBytes += Rest.size();
  Buffer.erase(0, Buffer.size() - Rest.size());
  if (Buffer.size() > MaxEventBytes) {
    TooLong = true;
    Buffer = {};
  }
  return Events;
}

std::string event_splitter::flush() {
  Resumable = Resumable && Buffer.empty();
  return std::exchange(Buffer, {});
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
