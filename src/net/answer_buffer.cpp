#include "net/answer_buffer.h"

#include <algorithm>
#include <utility>

namespace arbutus::net {

bool answer_memory::reserve(std::size_t Bytes) noexcept {
  if (Bytes > MaxBytes - Used) {
    return false;
  }
  Used += Bytes;
  return true;
}

answer_buffer::answer_buffer(answer_buffer &&Other) noexcept
    : Text(std::exchange(Other.Text, {})),
      Memory(std::exchange(Other.Memory, nullptr)),
      Reserved(std::exchange(Other.Reserved, 0)) {}

answer_buffer &answer_buffer::operator=(answer_buffer &&Other) noexcept {
  if (this != &Other) {
    clear();
    Text = std::exchange(Other.Text, {});
    Memory = std::exchange(Other.Memory, nullptr);
    Reserved = std::exchange(Other.Reserved, 0);
  }
  return *this;
}

bool answer_buffer::append(answer_memory &From, std::string_view Bytes,
                           std::size_t MaxBytes) {
  const std::size_t Size = Text.size() + Bytes.size();
  if (Size > MaxBytes) {
    return false;
  }
  const std::size_t Needed = Size - std::min(Size, FreeAnswerBytes);
  if (Needed > Reserved && !From.reserve(Needed - Reserved)) {
    return false;
  }
  Memory = &From;
  Reserved = Needed;
  Text += Bytes;
  return true;
}

void answer_buffer::clear() noexcept {
  Text = {};
  if (Memory != nullptr) {
    Memory->release(std::exchange(Reserved, 0));
  }
}

std::string answer_buffer::take() noexcept {
  std::string Taken = std::move(Text);
  clear();
  return Taken;
}

} // namespace arbutus::net
