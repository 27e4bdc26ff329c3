#include "net/client_connection.h"

#include "base/log.h"
#include <asio/connect.hpp>
#include <asio/write.hpp>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace arbutus::net::impl {

namespace {

/// Unacknowledged data older than this ends a connection, so that one whose
/// peer has lost power or gone silent does not hang for minutes.
constexpr int UnacknowledgedTimeoutMs = 5000;
/// How long a connection is kept when the server does not say.
constexpr duration DefaultKeepAlive = 4s;
/// A connection is given up this long before the server's own idle timeout,
/// so that a request does not cross the server's close.
constexpr duration KeepAliveMargin = 700ms;

/// Bytes of one call that are no body of its answer: heads, interim answers,
/// answers to other calls, chunk sizes and trailers. A faulty server may send
/// these without end.
constexpr std::size_t MaxFramingBytes = std::size_t{256} << 10U;
/// Bytes and fields of one head with its trailers. They are kept until the
/// answer ends, and a field takes more memory than its bytes.
constexpr std::size_t MaxHeadBytes = std::size_t{64} << 10U;
constexpr std::size_t MaxHeadFields = 200;
/// Framing bytes that are allowed beyond that for each byte of the body. A
/// chunk of one byte has five.
constexpr std::size_t MaxFramingPerBodyByte = 8;

/// What the parser is told when it has read a head.
constexpr int BodyFollows = 0;
constexpr int NoBody = 1;
constexpr int EndParser = -1;

/// Answers of these statuses have no body, whatever their head says of one.
int bodyAfter(int Status) noexcept {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Status == NoContent || Status == NotModified ? NoBody : BodyFollows;
}

using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

std::string_view bodyOf(const http_call &Call) {
  return Call.Body ? std::string_view(*Call.Body) : std::string_view();
}

bool hasBody(const http_call &Call) {
  return !bodyOf(Call).empty() || Call.Method == "POST" ||
         Call.Method == "PUT" || Call.Method == "PATCH";
}

/// Authority and target of `http://authority/target`.
struct url_parts {
  std::string_view Authority;
  std::string_view Target;
};

url_parts splitUrl(std::string_view Url) {
  static constexpr std::string_view Scheme = "http://";
  if (Url.substr(0, Scheme.size()) == Scheme) {
    Url.remove_prefix(Scheme.size());
  }
  const auto Slash = Url.find('/');
  if (Slash == std::string_view::npos) {
    return {Url, "/"};
  }
  return {Url.substr(0, Slash), Url.substr(Slash)};
}

/// The request without its body.
std::string requestHead(const http_call &Call) {
  const auto [Authority, Target] = splitUrl(Call.Url);
  std::string Text;
  constexpr std::size_t UsualHeadBytes = 512;
  Text.reserve(UsualHeadBytes);
  Text.append(Call.Method).append(" ").append(Target).append(" HTTP/1.1\r\n");
  if (headerOf(Call.Headers, "Host").empty()) {
    Text.append("Host: ").append(Authority).append("\r\n");
  }
  for (const auto &[Name, Value] : Call.Headers) {
    Text.append(Name).append(": ").append(Value).append("\r\n");
  }
  if (hasBody(Call)) {
    Text.append("Content-Length: ")
        .append(std::to_string(bodyOf(Call).size()))
        .append("\r\n");
  }
  Text.append("\r\n");
  return Text;
}

/// True if the body is in a transfer coding that the parser does not undo.
bool hasUnknownTransferCoding(const http_headers &Headers) {
  return std::any_of(Headers.begin(), Headers.end(), [](const auto &Header) {
    const std::string_view Value = Header.second;
    const auto Coding = Value.substr(0, Value.find_last_not_of(" \t") + 1);
    return sameHeaderName(Header.first, "Transfer-Encoding") &&
           !sameHeaderName(Coding, "chunked");
  });
}

/// Seconds of `Keep-Alive: timeout=N`, or nothing.
std::optional<duration> keepAliveOf(const http_headers &Headers) {
  const std::string_view Value = headerOf(Headers, "Keep-Alive");
  const auto At = Value.find("timeout=");
  if (At == std::string_view::npos) {
    return std::nullopt;
  }
  int Seconds = 0;
  const std::string_view Digits = Value.substr(At + 8);
  const auto Parsed =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  if (Parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(Seconds);
}

} // namespace

client_connection::client_connection(asio::io_context &Io,
                                     asio::ip::tcp::endpoint Server)
    : Socket(Io), Server(std::move(Server)), Timer(Io) {}

void client_connection::start(http_call NewCall, end_function NewOnEnd) {
  Call = std::move(NewCall);
  OnEnd = std::move(NewOnEnd);
  OnIdleEnd = nullptr;
  RequestHead = requestHead(Call);
  Write = write_state::Running;
  AnySent = AnswerBegun = AnswerDone = SkipAnswer = false;
  BytesRead = BodyBytes = 0;
  Deadline = monotonic_clock::now() + Call.Timeout;
  http_parser_init(&Parser, HTTP_RESPONSE);
  Parser.data = this;
  Head = {};
  BodyFault = body_fault::None;
  resetAnswer();
  if (Connected) {
    armCallTimer();
    write();
  } else {
    connect();
  }
}

void client_connection::connect() {
  asio::error_code Error;
  Socket.open(Server.protocol(), Error);
  if (Error) {
    logEvent(log_level::Warning, "socket_failed",
             {{"reason", Error.message()}});
    asio::post(Socket.get_executor(), [Self = shared_from_this()] {
      Self->end(call_outcome::NothingSent);
    });
    return;
  }
  // Best effort: without these options only the reaction to faults is slower.
  Socket.set_option(asio::ip::tcp::no_delay(true), Error);
  Socket.set_option(user_timeout(UnacknowledgedTimeoutMs), Error);
  Timer.expires_after(std::min(Call.ConnectTimeout, Call.Timeout));
  Timer.async_wait([Self = shared_from_this()](const asio::error_code &Code) {
    if (!Code && !Self->Connected) {
      Self->end(call_outcome::NothingSent);
    }
  });
  Socket.async_connect(
      Server, [Self = shared_from_this()](const asio::error_code &Code) {
        if (Self->Closed) {
          return;
        }
        if (Code) {
          Self->end(call_outcome::NothingSent);
          return;
        }
        asio::error_code Failed;
        Self->Socket.non_blocking(true, Failed);
        if (Failed) {
          logEvent(log_level::Warning, "socket_failed",
                   {{"reason", Failed.message()}});
          Self->end(call_outcome::NothingSent);
          return;
        }
        Self->Connected = true;
        Self->armCallTimer();
        Self->write();
      });
}

void client_connection::armCallTimer() {
  Timer.expires_after(
      std::max<duration>(Deadline - monotonic_clock::now(), 0ms));
  Timer.async_wait([Self = shared_from_this()](const asio::error_code &Code) {
    if (Code || Self->Closed || !Self->OnEnd ||
        monotonic_clock::now() < Self->Deadline) {
      return;
    }
    Self->end(Self->AnySent ? call_outcome::DeadlinePassed
                            : call_outcome::NothingSent);
  });
}

void client_connection::write() {
  if (Call.MayWrite && !Call.MayWrite()) {
    end(call_outcome::NothingSent);
    return;
  }
  AnySent = true;
  const std::string_view Body = bodyOf(Call);
  const std::array<asio::const_buffer, 2> Buffers = {asio::buffer(RequestHead),
                                                     asio::buffer(Body)};
  asio::async_write(Socket, Buffers,
                    // The call may end before its body is written.
                    [Self = shared_from_this(), Body = Call.Body](
                        const asio::error_code &Code, std::size_t Bytes) {
                      if (Self->Closed) {
                        return;
                      }
                      if (Code && Bytes == 0) {
                        Self->AnySent = false;
                        Self->end(call_outcome::NothingSent);
                        return;
                      }
                      // After a partial write the reading side reports what the
                      // server says.
                      Self->Write =
                          Code ? write_state::Failed : write_state::Done;
                    });
  if (!Reading) {
    read();
  }
}

void client_connection::read() {
  Reading = true;
  // Waiting before reading saves the system call that would find nothing: the
  // pieces of an answer come one by one.
  Socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [Self = shared_from_this()](const asio::error_code &Error) {
                      Self->Reading = false;
                      if (!Self->Closed) {
                        Self->onReadable(Error);
                      }
                    });
}

void client_connection::onReadable(asio::error_code Error) {
  std::size_t Bytes = 0;
  if (!Error) {
    Bytes = Socket.read_some(asio::buffer(Buffer), Error);
  }
  if (Error == asio::error::would_block) {
    read();
  } else if (!OnEnd) {
    onIdleRead();
  } else if (Error) {
    onReadEnd(Error);
  } else {
    onRead({Buffer.data(), Bytes});
  }
}

void client_connection::onRead(std::string_view Bytes) {
  const auto Self = shared_from_this();
  BytesRead += Bytes.size();
  while (!Bytes.empty() && !AnswerDone && answerFault().empty()) {
    Bytes.remove_prefix(readAnswer(Bytes));
    if (Closed) {
      return;
    }
  }
  if (AnswerDone) {
    Stray = Stray || !Bytes.empty();
    end(call_outcome::Complete);
    return;
  }
  if (exceedsLimits()) {
    logEvent(log_level::Warning, "answer_too_long",
             {{"server", Server.address().to_string()},
              {"bytes", BytesRead},
              {"body_bytes", BodyBytes}});
    end(brokenOutcome());
    return;
  }
  if (const auto Fault = answerFault(); !Fault.empty()) {
    logEvent(log_level::Info, "answer_unreadable",
             {{"server", Server.address().to_string()}, {"reason", Fault}});
    end(brokenOutcome());
    return;
  }
  read();
}

std::size_t client_connection::readAnswer(std::string_view Bytes) {
  if (Head.State == head_state::Complete) {
    return parse(Bytes);
  }
  const std::size_t Used = readHead(Head, Bytes);
  if (Head.State == head_state::Complete) {
    parse(std::exchange(Head.Text, {}));
  }
  return Used;
}

std::size_t client_connection::parse(std::string_view Bytes) {
  static const http_parser_settings Settings = parserSettings();
  const std::size_t Used =
      http_parser_execute(&Parser, &Settings, Bytes.data(), Bytes.size());
  const std::size_t Kept = std::min(Used, LastParsed.size());
  for (const char Byte : Bytes.substr(Used - Kept, Kept)) {
    LastParsed = {LastParsed[1], Byte};
  }
  if (HTTP_PARSER_ERRNO(&Parser) == HPE_PAUSED) {
    http_parser_pause(&Parser, 0);
    onParserPaused();
  }
  return Used;
}

void client_connection::onParserPaused() {
  // The parser takes any bytes for the end of a line between chunks.
  const bool IsChunked = (Parser.flags & F_CHUNKED) != 0;
  const bool LineEnded = LastParsed == std::array<char, 2>{'\r', '\n'};
  if (IsChunked && !LineEnded) {
    BodyFault = body_fault::MalformedChunk;
    AnswerDone = false;
  } else if (Stop == parser_stop::AnswerEnd) {
    Head = {}; // what follows begins with a head
  }
}

std::string_view client_connection::answerFault() const noexcept {
  if (isBroken(Head)) {
    return nameOf(Head.State);
  }
  if (BodyFault != body_fault::None) {
    return nameOf(BodyFault);
  }
  const auto Error = HTTP_PARSER_ERRNO(&Parser);
  return Error == HPE_OK ? std::string_view() : http_errno_name(Error);
}

bool client_connection::exceedsLimits() const noexcept {
  return BodyBytes > Call.MaxBodyBytes || HeadBytes > MaxHeadBytes ||
         Headers.size() > MaxHeadFields ||
         BytesRead >
             BodyBytes + MaxFramingBytes + MaxFramingPerBodyByte * BodyBytes;
}

call_outcome client_connection::brokenOutcome() const noexcept {
  return AnswerBegun ? call_outcome::AnswerBroken : call_outcome::SentNoAnswer;
}

void client_connection::onReadEnd(const asio::error_code &Error) {
  if (Error != asio::error::eof) {
    end(brokenOutcome());
  } else if (Write == write_state::Running) {
    // A connection reports its error once. If a write has taken it, the read
    // finds an orderly end, and the result of the write is queued already.
    asio::post(Socket.get_executor(), [Self = shared_from_this()] {
      if (!Self->Closed) {
        Self->onServerClosed();
      }
    });
  } else {
    onServerClosed();
  }
}

void client_connection::onServerClosed() {
  static const http_parser_settings Settings = parserSettings();
  const auto Self = shared_from_this();
  if (Write != write_state::Failed) {
    // An answer without a length is complete when its connection ends.
    http_parser_execute(&Parser, &Settings, nullptr, 0);
    if (Closed) {
      return;
    }
  }
  if (AnswerDone) {
    Stray = true;
    end(call_outcome::Complete);
    return;
  }
  end(brokenOutcome());
}

void client_connection::onIdleRead() {
  const auto Callback = std::move(OnIdleEnd);
  close();
  if (Callback) {
    Callback();
  }
}

void client_connection::end(call_outcome Outcome) {
  if (!OnEnd) {
    return;
  }
  const auto Self = shared_from_this();
  const auto Callback = std::exchange(OnEnd, nullptr);
  call_end End;
  End.Outcome = Outcome;
  if (Outcome == call_outcome::Complete) {
    End.ReusableUntil = reusableUntil();
  }
  Timer.cancel();
  if (!End.ReusableUntil) {
    close();
  }
  Callback(End);
}

std::optional<instant> client_connection::reusableUntil() const {
  if (Call.FreshConnection || Stray || Write != write_state::Done ||
      http_should_keep_alive(&Parser) == 0) {
    return std::nullopt;
  }
  const duration Kept = keepAliveOf(Headers).value_or(DefaultKeepAlive);
  if (Kept <= KeepAliveMargin) {
    return std::nullopt;
  }
  return monotonic_clock::now() + Kept - KeepAliveMargin;
}

void client_connection::waitIdle(instant Until, idle_end_function Callback) {
  IdleUntil = Until;
  OnIdleEnd = std::move(Callback);
  Call = {};
  RequestHead.clear();
  RequestHead.shrink_to_fit();
  Timer.expires_after(std::max<duration>(Until - monotonic_clock::now(), 0ms));
  Timer.async_wait([Self = shared_from_this()](const asio::error_code &Code) {
    if (!Code && !Self->Closed && !Self->OnEnd &&
        monotonic_clock::now() >= Self->IdleUntil) {
      Self->onIdleRead();
    }
  });
  if (!Reading) {
    read();
  }
}

void client_connection::close() noexcept {
  Closed = true;
  OnEnd = nullptr;
  OnIdleEnd = nullptr;
  asio::error_code Ignored; // there is nothing left to do with the socket
  Socket.close(Ignored);
  Timer.cancel();
}

void client_connection::resetAnswer() {
  Headers.clear();
  Field.clear();
  Value.clear();
  InValue = false;
  HeadBytes = 0;
}

int client_connection::addHeadBytes(std::string &To, std::string_view Bytes) {
  HeadBytes += Bytes.size();
  if (HeadBytes > MaxHeadBytes || Headers.size() > MaxHeadFields) {
    return 1; // ends the parser
  }
  To += Bytes;
  return 0;
}

void client_connection::noteHeader() {
  if (!Field.empty()) {
    Headers.emplace_back(std::move(Field), std::move(Value));
  }
  Field.clear();
  Value.clear();
  InValue = false;
}

client_connection &client_connection::of(http_parser *Parser) noexcept {
  return *static_cast<client_connection *>(Parser->data);
}

http_parser_settings client_connection::parserSettings() noexcept {
  http_parser_settings Settings{};
  Settings.on_message_begin = [](http_parser *Parser) {
    of(Parser).resetAnswer();
    return 0;
  };
  Settings.on_header_field = [](http_parser *Parser, const char *At,
                                std::size_t Size) {
    auto &Self = of(Parser);
    if (Self.InValue) {
      Self.noteHeader();
    }
    return Self.addHeadBytes(Self.Field, {At, Size});
  };
  Settings.on_header_value = [](http_parser *Parser, const char *At,
                                std::size_t Size) {
    auto &Self = of(Parser);
    Self.InValue = true;
    return Self.addHeadBytes(Self.Value, {At, Size});
  };
  Settings.on_headers_complete = [](http_parser *Parser) {
    return of(Parser).onHeadersComplete();
  };
  Settings.on_body = [](http_parser *Parser, const char *At, std::size_t Size) {
    auto &Self = of(Parser);
    if (Self.SkipAnswer) {
      return 0;
    }
    Self.BodyBytes += Size;
    const bool TooLong = Self.BodyBytes > Self.Call.MaxBodyBytes;
    if (!TooLong && Self.Call.OnBody) {
      Self.Call.OnBody({At, Size});
    }
    return Self.Closed || TooLong ? 1 : 0;
  };
  Settings.on_message_complete = [](http_parser *Parser) {
    return of(Parser).onMessageComplete();
  };
  Settings.on_chunk_header = [](http_parser *Parser) {
    return of(Parser).pauseParser(parser_stop::ChunkSize);
  };
  Settings.on_chunk_complete = [](http_parser *Parser) {
    // The last chunk ends with the answer.
    return (Parser->flags & F_TRAILING) != 0
               ? 0
               : of(Parser).pauseParser(parser_stop::ChunkEnd);
  };
  return Settings;
}

int client_connection::onHeadersComplete() {
  noteHeader();
  if (Headers.size() > MaxHeadFields) {
    return EndParser;
  }
  const int Status = Parser.status_code;
  if (Status < 200) {
    return NoBody; // whatever an interim answer says of its length
  }
  if (hasUnknownTransferCoding(Headers)) {
    BodyFault = body_fault::UnknownTransferCoding;
    return EndParser;
  }
  SkipAnswer = Call.IsAnswer && !Call.IsAnswer(Headers);
  if (SkipAnswer) {
    Stray = true;
    logEvent(log_level::Info, "stray_answer",
             {{"server", Server.address().to_string()}, {"status", Status}});
    return bodyAfter(Status);
  }
  AnswerBegun = true;
  if (Call.OnHeaders) {
    Call.OnHeaders(Status, Headers);
  }
  return Call.Method == "HEAD" ? NoBody : bodyAfter(Status);
}

int client_connection::onMessageComplete() {
  const bool Interim = Parser.status_code < 200;
  AnswerDone = !Interim && !SkipAnswer;
  SkipAnswer = false;
  return pauseParser(parser_stop::AnswerEnd);
}

int client_connection::pauseParser(parser_stop At) noexcept {
  Stop = At;
  http_parser_pause(&Parser, 1);
  return 0;
}

} // namespace arbutus::net::impl
