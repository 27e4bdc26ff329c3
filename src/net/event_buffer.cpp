#include "net/event_buffer.h"

#include <algorithm>
#include <utility>

namespace arbutus::net {

namespace {

/// Bytes at the end of a partial event in which the end of the event may have
/// begun: a line end, and the CR of an empty line.
constexpr std::size_t EndPrefixBytes = 2;

/// Bytes of the empty line that begins at the front, or 0 if there is none.
std::size_t emptyLineBytes(std::string_view Bytes) noexcept {
  if (Bytes.starts_with('\n')) {
    return 1;
  }
  return Bytes.starts_with("\r\n") ? 2 : 0;
}

} // namespace

void event_buffer::append(std::string_view Bytes,
                          const event_function &OnEvent) {
  Work.ReceivedBytes += Bytes.size();
  const std::size_t Searched =
      Partial.size() - std::min(Partial.size(), EndPrefixBytes);
  const std::string_view Joined = Partial.join(Bytes);
  std::string_view Rest = Joined;
  for (auto End = findEnd(Rest, Searched); End != std::string_view::npos;
       End = findEnd(Rest, 0)) {
    OnEvent(Rest.substr(0, End));
    Rest.remove_prefix(End);
  }
  Partial.keepAfter(Joined.size() - Rest.size());
}

void event_buffer::clear() noexcept { Partial.clear(); }

std::string event_buffer::take() noexcept { return Partial.take(); }

read_work event_buffer::takeWork() noexcept { return std::exchange(Work, {}); }

std::size_t event_buffer::findEnd(std::string_view Bytes, std::size_t From) {
  for (auto Line = Bytes.find('\n', From); Line != std::string_view::npos;
       Line = Bytes.find('\n', Line + 1)) {
    const std::size_t Next = Line + 1;
    if (const auto Empty = emptyLineBytes(Bytes.substr(Next)); Empty != 0) {
      Work.SearchedBytes += Next + Empty - From;
      return Next + Empty;
    }
  }
  Work.SearchedBytes += Bytes.size() - From;
  return std::string_view::npos;
}

} // namespace arbutus::net
