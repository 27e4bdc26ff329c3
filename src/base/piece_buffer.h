#ifndef ARBUTUS_BASE_PIECE_BUFFER_H
#define ARBUTUS_BASE_PIECE_BUFFER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace arbutus {

/// Joins bytes that arrive in pieces until they are whole messages. The reader
/// calls `join` with each piece, uses the messages that are whole, and then
/// `keepAfter`. A byte is copied a constant number of times, whatever the
/// pieces are, and bytes of messages that arrive whole are not copied.
class piece_buffer {
public:
  /// Returns the bytes kept so far with the piece behind them. Valid until
  /// `keepAfter`, and as long as the piece.
  [[nodiscard]] std::string_view join(std::string_view Piece);

  /// Keeps what `join` returned, without its first bytes. Used bytes must reach
  /// into the latest piece or be none, as those of whole messages do.
  void keepAfter(std::size_t UsedBytes);

  /// Drops the kept bytes and frees their memory.
  void clear() noexcept;

  /// Moves the kept bytes out.
  [[nodiscard]] std::string take() noexcept;

  [[nodiscard]] std::string_view kept() const noexcept { return Kept; }
  [[nodiscard]] std::size_t size() const noexcept { return Kept.size(); }
  [[nodiscard]] bool empty() const noexcept { return Kept.empty(); }

private:
  std::string Kept;
  /// The result of the latest `join`.
  std::string_view Joined;
};

} // namespace arbutus

#endif
