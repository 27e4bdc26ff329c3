#ifndef ARBUTUS_TESTS_NET_EVENT_FORMS_H
#define ARBUTUS_TESTS_NET_EVENT_FORMS_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::tests {

/// Bytes that an upstream repeats without end in place of an event stream.
struct event_form {
  std::string Name;
  std::string Part;
};

inline const std::vector<event_form> EventForms = {
    {"no line end", "x"},
    {"lines, LF", "aaaaaaa\n"},
    {"lines, CRLF", "aaaaaaa\r\n"},
    {"lines, CR", "aaaaaaa\r"},
    {"only CR", "\r"},
    {"LF and CR", "\n\ra"},
    {"ids", "id: 1\n"},
    {"comments", ": c\n"},
    {"whole events", "a\n\n"},
    {"whole events, CRLF", "a\r\n\r\n"},
    {"whole events with an id", "id: 1\n\n"},
    {"whole comments", ":\n\n"},
    {"empty lines", "\n"},
};

/// Returns the text repeated up to this size, and cut there.
inline std::string repeated(const std::string &Part, std::size_t Bytes) {
  std::string Text;
  Text.reserve(Bytes + Part.size());
  while (Text.size() < Bytes) {
    Text += Part;
  }
  Text.resize(Bytes);
  return Text;
}

/// Calls a function with each piece of the bytes.
template <class Function>
void forEachPiece(std::string_view Bytes, std::size_t PieceBytes,
                  Function Read) {
  for (std::size_t At = 0; At < Bytes.size(); At += PieceBytes) {
    Read(Bytes.substr(At, PieceBytes));
  }
}

} // namespace arbutus::tests

#endif
