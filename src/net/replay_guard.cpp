#include "net/replay_guard.h"

namespace arbutus::net {

bool replay_guard::accept(const frame_header &Header) {
  const auto [Entry, IsNew] = Senders.try_emplace(
      Header.Sender, newest{Header.Incarnation, Header.Sequence});
  auto &Newest = Entry->second;
  if (IsNew) {
    return true;
  }
  if (Header.Incarnation < Newest.Incarnation ||
      (Header.Incarnation == Newest.Incarnation &&
       Header.Sequence <= Newest.Sequence)) {
    return false;
  }
  Newest = {Header.Incarnation, Header.Sequence};
  return true;
}

} // namespace arbutus::net
