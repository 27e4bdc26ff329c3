#include "net/answer_head.h"

#include <algorithm>

namespace arbutus::net {

namespace {

constexpr std::string_view VersionPrefix = "HTTP/1.";
/// The answer to a request to change the protocol, which no call makes.
constexpr std::string_view SwitchingProtocols = "101";
/// What the name of a field may hold beside letters and digits.
constexpr std::string_view NameSymbols = "!#$%&'*+-.^_`|~";
constexpr unsigned char Delete = 0x7f;

bool isDigit(char C) noexcept { return C >= '0' && C <= '9'; }

/// True for 100 to 599: HTTP has no other statuses.
bool isStatus(std::string_view Text) noexcept {
  return Text.size() == 3 && std::all_of(Text.begin(), Text.end(), isDigit) &&
         Text.front() >= '1' && Text.front() <= '5';
}

bool isLetter(char C) noexcept {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z');
}

/// True for the characters of a field's name.
bool isNameChar(char C) noexcept {
  return isLetter(C) || isDigit(C) ||
         NameSymbols.find(C) != std::string_view::npos;
}

/// True for a byte that no line of a head may hold. A tab separates words.
bool isControlByte(char C) noexcept {
  const auto Byte = static_cast<unsigned char>(C);
  return (Byte < ' ' && Byte != '\t') || Byte == Delete;
}

bool hasControlByte(std::string_view Line) noexcept {
  return std::any_of(Line.begin(), Line.end(), isControlByte);
}

/// True for `name: value` on one line. A line that begins with a blank would
/// continue the one before it; HTTP lets a router refuse that.
bool isField(std::string_view Line) noexcept {
  const auto Colon = Line.find(':');
  const std::string_view Name = Line.substr(0, Colon);
  return Colon != std::string_view::npos && !Name.empty() &&
         std::all_of(Name.begin(), Name.end(), isNameChar) &&
         !hasControlByte(Line.substr(Colon));
}

/// True for `HTTP/1.x status reason`, in which the reason may be absent.
bool isStatusLine(std::string_view Line) noexcept {
  if (!Line.starts_with(VersionPrefix) || hasControlByte(Line)) {
    return false;
  }
  Line.remove_prefix(VersionPrefix.size());
  if (Line.size() < 2 || !isDigit(Line[0]) || Line[1] != ' ') {
    return false;
  }
  Line.remove_prefix(2);
  const std::string_view Status = Line.substr(0, Line.find(' '));
  return isStatus(Status) && Status != SwitchingProtocols;
}

/// The state of the head after one more line, which is without its end.
head_state stateAfter(answer_head &Head, std::string_view Line) noexcept {
  if (Line.empty()) {
    // The parser skips empty lines before an answer.
    return Head.HasStatusLine ? head_state::Complete : head_state::Incomplete;
  }
  if (Head.HasStatusLine) {
    return isField(Line) ? head_state::Incomplete : head_state::MalformedField;
  }
  Head.HasStatusLine = true;
  return isStatusLine(Line) ? head_state::Incomplete
                            : head_state::MalformedStatusLine;
}

/// The line that begins at `LineBegin`, without its end.
std::string_view lastLine(const answer_head &Head) noexcept {
  std::string_view Line = std::string_view(Head.Text).substr(Head.LineBegin);
  Line.remove_suffix(1);
  if (Line.ends_with('\r')) {
    Line.remove_suffix(1);
  }
  return Line;
}

} // namespace

std::size_t readHead(answer_head &Head, std::string_view Bytes) {
  std::size_t Read = 0;
  while (Head.State == head_state::Incomplete && Read < Bytes.size()) {
    const std::string_view Rest = Bytes.substr(Read);
    const auto LineEnd = Rest.find('\n');
    const bool HasEnd = LineEnd != std::string_view::npos;
    const std::string_view Line = HasEnd ? Rest.substr(0, LineEnd + 1) : Rest;
    Read += Line.size();
    Head.Text += Line;
    if (Head.Text.size() > MaxAnswerHeadBytes) {
      Head.State = head_state::TooLong;
    } else if (HasEnd) {
      Head.State = stateAfter(Head, lastLine(Head));
      Head.LineBegin = Head.Text.size();
    }
  }
  return Read;
}

} // namespace arbutus::net
