#ifndef ARBUTUS_NET_ANSWER_BUFFER_H
#define ARBUTUS_NET_ANSWER_BUFFER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace arbutus::net {

/// Bytes of each answer that need no share of the memory.
inline constexpr std::size_t FreeAnswerBytes = std::size_t{16} << 10U;

/// Memory for the answers that one event loop keeps at once. Used on the thread
/// that runs the io_context only.
class answer_memory {
public:
  explicit answer_memory(std::size_t MaxBytes) noexcept : MaxBytes(MaxBytes) {}

  /// Takes bytes, or returns false if there are not as many left.
  [[nodiscard]] bool reserve(std::size_t Bytes) noexcept;
  void release(std::size_t Bytes) noexcept { Used -= Bytes; }

private:
  std::size_t MaxBytes;
  std::size_t Used = 0;
};

/// The body of one answer that is kept until it is complete. One of at most
/// `FreeAnswerBytes` always finds room, so that answers without end of faulty
/// upstreams do not keep those of others out. Must not outlive the memory that
/// it takes from.
class answer_buffer {
public:
  answer_buffer() = default;
  answer_buffer(answer_buffer &&Other) noexcept;
  answer_buffer &operator=(answer_buffer &&Other) noexcept;
  answer_buffer(const answer_buffer &) = delete;
  answer_buffer &operator=(const answer_buffer &) = delete;
  ~answer_buffer() { clear(); }

  /// Adds bytes. Returns false, with nothing added, if the answer would be
  /// longer than `MaxBytes` or the memory is used up.
  [[nodiscard]] bool append(answer_memory &From, std::string_view Bytes,
                            std::size_t MaxBytes);
  /// Frees the memory.
  void clear() noexcept;
  /// Moves the text out and frees its share of the memory.
  [[nodiscard]] std::string take() noexcept;

  [[nodiscard]] const std::string &text() const noexcept { return Text; }
  [[nodiscard]] std::size_t size() const noexcept { return Text.size(); }

private:
  std::string Text;
  answer_memory *Memory = nullptr;
  std::size_t Reserved = 0;
};

} // namespace arbutus::net

#endif
