#include "net/replay_guard.h"

namespace arbutus::net {

namespace {

/// A process sends several frames a second, so one that was silent for this
/// long has ended or was cut off; frames on the way do not take as long.
constexpr duration SilenceOfEnded = 2s;

} // namespace

bool replay_guard::accept(const frame_header &Header, instant Now) {
  const newest Seen{Header.Incarnation, Header.Sequence, Now};
  const auto [Entry, IsNew] = Senders.try_emplace(Header.Sender, Seen);
  auto &Newest = Entry->second;
  if (IsNew) {
    return true;
  }
  if (Header.Incarnation < Newest.Incarnation &&
      Now - Newest.AcceptedAt >= SilenceOfEnded) {
    Newest = Seen;
    return true;
  }
  if (Header.Incarnation < Newest.Incarnation ||
      (Header.Incarnation == Newest.Incarnation &&
       Header.Sequence <= Newest.Sequence)) {
    return false;
  }
  Newest = Seen;
  return true;
}

} // namespace arbutus::net
