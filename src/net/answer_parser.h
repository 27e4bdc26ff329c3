#ifndef ARBUTUS_NET_ANSWER_PARSER_H
#define ARBUTUS_NET_ANSWER_PARSER_H

#include "net/answer_head.h"
#include "net/http_call.h"
#include <http_parser.h>

#include <array>
#include <string>
#include <string_view>

namespace arbutus::net::impl {

/// Why the body of an answer cannot be read.
enum class body_fault {
  None,
  MalformedChunk,        ///< a line of the framing does not end as such
  UnknownTransferCoding, ///< not chunked alone; it would be passed on encoded
};

/// Reads the answer to one call at a time from the bytes of a connection, and
/// gives it to the callbacks of the call. Interim answers and those to other
/// calls are skipped. The HTTP parser of the package takes more than HTTP has;
/// what it does not check, this does.
class answer_parser {
public:
  /// `Call` must outlive this object; its content is that of the present call.
  /// `Server` stands in log lines.
  answer_parser(const http_call &Call, std::string Server);
  answer_parser(const answer_parser &) = delete;
  answer_parser &operator=(const answer_parser &) = delete;

  /// Begins with the answer to the next call.
  void start();

  /// Reads bytes of the connection until the answer is complete or can't be
  /// read on. Returns how many were read.
  std::size_t read(std::string_view Bytes);

  /// The connection has ended in order, which completes an answer without a
  /// length.
  void readEnd();

  /// Makes no callback from now on, also within `read`.
  void stop() noexcept { Stopped = true; }

  [[nodiscard]] bool isComplete() const noexcept { return Complete; }
  /// The head of the call's own answer was read.
  [[nodiscard]] bool hasBegun() const noexcept { return Begun; }
  /// An answer to another call was skipped since this object was made.
  [[nodiscard]] bool hasSkipped() const noexcept { return SkippedAny; }
  /// More bytes, body or head than the call allows. The server may send them
  /// without end.
  [[nodiscard]] bool isTooLong() const noexcept;
  /// Why the answer cannot be read on, or nothing.
  [[nodiscard]] std::string_view fault() const noexcept;

  /// Bytes since `start`, and those of them that are the answer's body.
  [[nodiscard]] std::size_t bytes() const noexcept { return BytesRead; }
  [[nodiscard]] std::size_t bodyBytes() const noexcept { return BodyBytes; }

  /// Fields of the latest head, with trailers.
  [[nodiscard]] const http_headers &headers() const noexcept { return Headers; }
  /// The answer lets the connection be used again.
  [[nodiscard]] bool keepsAlive() const noexcept {
    return http_should_keep_alive(&Parser) != 0;
  }

private:
  /// What the parser has read when it pauses, so that its end can be checked.
  enum class parser_stop { ChunkLine, Answer };

  static http_parser_settings parserSettings() noexcept;
  static answer_parser &of(http_parser *Parser) noexcept;

  /// Reads to the end of a head, of a line between chunks or of an answer at
  /// the most.
  std::size_t readSome(std::string_view Bytes);
  std::size_t parse(std::string_view Bytes);
  void onPaused();
  int pause(parser_stop At) noexcept;
  int onHeadersComplete();
  int onBody(std::string_view Bytes);
  int onMessageComplete();
  void resetFields();
  void noteField();
  /// Adds bytes of a field; not 0 if the head is too long.
  int addHeadBytes(std::string &To, std::string_view Bytes);

  const http_call &Call;
  std::string Server;
  http_parser Parser{};
  answer_head Head;
  parser_stop Stop{};
  /// The last bytes that the parser took.
  std::array<char, 2> LastParsed{};
  body_fault BodyFault = body_fault::None;

  std::size_t BytesRead = 0;
  std::size_t BodyBytes = 0;
  std::size_t HeadBytes = 0; ///< of the head that is read, with trailers
  http_headers Headers;
  std::string Name;
  std::string Value;
  bool InValue = false;

  bool Begun = false;
  bool Complete = false;
  bool Skipping = false; ///< the answer being read belongs to no call
  bool SkippedAny = false;
  bool Stopped = false;
};

} // namespace arbutus::net::impl

namespace arbutus {

template <> struct name_table<net::impl::body_fault> {
  static constexpr name_row<net::impl::body_fault> Rows[] = {
      {net::impl::body_fault::None, "none"},
      {net::impl::body_fault::MalformedChunk, "malformed_chunk"},
      {net::impl::body_fault::UnknownTransferCoding, "unknown_transfer_coding"},
  };
};

} // namespace arbutus

#endif
