#ifndef ARBUTUS_NET_CLIENT_CONNECTION_H
#define ARBUTUS_NET_CLIENT_CONNECTION_H

#include "net/answer_head.h"
#include "net/http_call.h"
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <http_parser.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::net::impl {

/// How a connection ended its call, and whether it can serve another one.
struct call_end {
  call_outcome Outcome{};
  /// Set when the connection may be used again, until this instant.
  std::optional<instant> ReusableUntil;
};

/// How far a call's request was written.
enum class write_state {
  Running, ///< not to its end yet
  Done,    ///< the whole request was handed to the kernel
  Failed,  ///< the connection's error was reported to the write
};

/// Why the body of an answer cannot be read.
enum class body_fault {
  None,
  MalformedChunk,        ///< a line of the framing does not end as such
  UnknownTransferCoding, ///< not chunked alone; it would be passed on encoded
};

/// Where the parser pauses, so that the bytes before it can be checked.
enum class parser_stop {
  ChunkSize, ///< behind the line with the size of a chunk
  ChunkEnd,  ///< behind the line end of a chunk
  AnswerEnd,
};

/// One connection to a server and at most one call on it at a time. A request
/// is written once and never repeated, so a call that may not run twice can
/// use a kept connection. Use it on the thread that runs the io_context only.
class client_connection
    : public std::enable_shared_from_this<client_connection> {
public:
  using end_function = std::function<void(const call_end &)>;
  /// Called when an idle connection is closed by the server, or when it sends
  /// bytes that no call is waiting for.
  using idle_end_function = std::function<void()>;

  client_connection(asio::io_context &Io, asio::ip::tcp::endpoint Server);
  client_connection(const client_connection &) = delete;
  client_connection &operator=(const client_connection &) = delete;

  /// Starts a call on a new or an idle connection. `OnEnd` follows from the
  /// event loop, exactly once, unless `close` is called before.
  void start(http_call Call, end_function OnEnd);

  /// Waits for the server while no call runs.
  void waitIdle(instant Until, idle_end_function OnIdleEnd);

  /// Ends the running call with this outcome and closes the socket.
  void abandon(call_outcome Outcome) { end(Outcome); }

  /// Closes the socket. No callback of this object runs afterwards.
  void close() noexcept;

  [[nodiscard]] instant idleUntil() const noexcept { return IdleUntil; }

private:
  void connect();
  void armCallTimer();
  void write();
  void read();
  void onReadable(asio::error_code Error);
  void onRead(std::string_view Bytes);
  /// Reads bytes up to the end of a head or of an answer at the most, and
  /// returns how many these are.
  std::size_t readAnswer(std::string_view Bytes);
  /// Gives bytes to the parser until it pauses; returns how many it took.
  std::size_t parse(std::string_view Bytes);
  void onParserPaused();
  /// Why the answer cannot be read on, or nothing.
  [[nodiscard]] std::string_view answerFault() const noexcept;
  [[nodiscard]] bool exceedsLimits() const noexcept;
  /// How a call ends whose answer is not read to its end.
  [[nodiscard]] call_outcome brokenOutcome() const noexcept;
  void onReadEnd(const asio::error_code &Error);
  void onServerClosed();
  void onIdleRead();
  void end(call_outcome Outcome);
  [[nodiscard]] std::optional<instant> reusableUntil() const;
  void noteHeader();
  /// Adds bytes of a field; not 0 if the head is too long.
  int addHeadBytes(std::string &To, std::string_view Bytes);
  void resetAnswer();

  static http_parser_settings parserSettings() noexcept;
  static client_connection &of(http_parser *Parser) noexcept;
  int pauseParser(parser_stop At) noexcept;
  int onHeadersComplete();
  int onMessageComplete();

  asio::ip::tcp::socket Socket;
  asio::ip::tcp::endpoint Server;
  asio::steady_timer Timer;
  http_parser Parser{};
  std::array<char, 16384> Buffer{};

  http_call Call;
  end_function OnEnd;
  idle_end_function OnIdleEnd;
  std::string RequestHead;
  instant IdleUntil{};
  instant Deadline{};

  std::size_t BytesRead = 0; ///< since the call started
  std::size_t BodyBytes = 0; ///< of them, bytes of the answer's body
  std::size_t HeadBytes = 0; ///< of the head that is read, with trailers
  answer_head Head;
  parser_stop Stop{};
  /// The last bytes that the parser took.
  std::array<char, 2> LastParsed{};
  body_fault BodyFault = body_fault::None;
  http_headers Headers;
  std::string Field;
  std::string Value;
  bool InValue = false;

  bool Connected = false;
  bool Reading = false;
  write_state Write = write_state::Running;
  bool AnySent = false;     ///< some of the request was handed to the kernel
  bool AnswerBegun = false; ///< headers of this call's answer arrived
  bool SkipAnswer = false;  ///< the answer being read belongs to no call
  bool AnswerDone = false;
  bool Stray = false; ///< bytes arrived that belong to no call
  bool Closed = false;
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
