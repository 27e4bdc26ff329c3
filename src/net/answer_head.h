#ifndef ARBUTUS_NET_ANSWER_HEAD_H
#define ARBUTUS_NET_ANSWER_HEAD_H

#include "base/name_table.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace arbutus::net {

/// Longest head of an answer in bytes, as much as the HTTP parser takes.
inline constexpr std::size_t MaxAnswerHeadBytes = std::size_t{80} << 10U;

/// What is known of the head of an answer, its status line and its fields.
enum class head_state {
  Incomplete,          ///< more bytes are needed
  Complete,            ///< the empty line that ends it was read
  MalformedStatusLine, ///< no HTTP/1 answer, or a status that answers nothing
  MalformedField,      ///< a line that is no field, or a control byte
  TooLong,             ///< over `MaxAnswerHeadBytes`
};

/// The head of one answer while its bytes arrive. The HTTP parser takes heads
/// that the protocol does not have, so it gets only those that were checked.
struct answer_head {
  head_state State = head_state::Incomplete;
  /// What was read of it, with the ends of lines.
  std::string Text;
  /// Where the line begins that is not complete yet.
  std::size_t LineBegin = 0;
  bool HasStatusLine = false;
};

/// Reads bytes up to the end of the head, or to its first malformed line, and
/// returns how many these are. Nothing is read of a head that has ended.
std::size_t readHead(answer_head &Head, std::string_view Bytes);

/// True if the head can no longer become a complete one.
[[nodiscard]] inline bool isBroken(const answer_head &Head) noexcept {
  return Head.State != head_state::Incomplete &&
         Head.State != head_state::Complete;
}

} // namespace arbutus::net

namespace arbutus {

template <> struct name_table<net::head_state> {
  static constexpr name_row<net::head_state> Rows[] = {
      {net::head_state::Incomplete, "incomplete"},
      {net::head_state::Complete, "complete"},
      {net::head_state::MalformedStatusLine, "malformed_status_line"},
      {net::head_state::MalformedField, "malformed_field"},
      {net::head_state::TooLong, "head_too_long"},
  };
};

} // namespace arbutus

#endif
