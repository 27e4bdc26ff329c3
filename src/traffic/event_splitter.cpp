#include "traffic/event_splitter.h"

#include <charconv>
#include <utility>

namespace arbutus::traffic {

namespace {

/// Longest event that is held back until it is whole, in bytes. Longer ones
/// pass as they come.
constexpr std::size_t MostEventBytes = std::size_t{256} << 10U;

/// Where an event ends: behind the empty line that closes it.
struct event_end {
  std::size_t At = std::string_view::npos;
};

event_end findEnd(std::string_view Bytes) {
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

std::string event_splitter::feed(std::string_view Bytes) {
  Buffer += Bytes;
  std::string Whole;
  std::string_view Left = Buffer;
  for (auto End = findEnd(Left); End.At != std::string_view::npos;
       End = findEnd(Left)) {
    takeEvent(Left.substr(0, End.At), Whole);
    Left.remove_prefix(End.At);
  }
  Buffer.erase(0, Buffer.size() - Left.size());
  if (Buffer.size() > MostEventBytes) {
    Whole += takeRest();
  }
  return Whole;
}

std::string event_splitter::takeRest() {
  Resumable = Resumable && Buffer.empty();
  return std::exchange(Buffer, {});
}

void event_splitter::takeEvent(std::string_view Event, std::string &Whole) {
  const auto Id = idOf(Event);
  if (Id && LastId && *Id <= *LastId) {
    return; // passed on before the stream was taken up again
  }
  if (Id) {
    LastId = Id;
  } else {
    Resumable = false;
  }
  Whole += Event;
}

} // namespace arbutus::traffic
