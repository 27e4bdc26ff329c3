#include "base/piece_buffer.h"

#include <utility>

namespace arbutus {

std::string_view piece_buffer::join(std::string_view Piece) {
  if (Kept.empty()) {
    Joined = Piece;
  } else {
    Kept += Piece;
    Joined = Kept;
  }
  return Joined;
}

void piece_buffer::keepAfter(std::size_t UsedBytes) {
  const bool IsKept = Joined.data() == Kept.data();
  if (!IsKept || UsedBytes > 0) {
    // Assigning a short text would keep the memory of a long message.
    std::string(Joined.substr(UsedBytes)).swap(Kept);
  }
  Joined = {};
}

void piece_buffer::clear() noexcept {
  std::string().swap(Kept);
  Joined = {};
}

std::string piece_buffer::take() noexcept {
  Joined = {};
  return std::exchange(Kept, {});
}

} // namespace arbutus
