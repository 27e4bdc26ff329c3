#include "net/answer_parser.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace arbutus::net::impl {

namespace {

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

/// Return values of the parser's callbacks.
constexpr int GoOn = 0;
constexpr int EndParser = -1;
/// What the parser is told when it has read a head.
constexpr int BodyFollows = 0;
constexpr int NoBody = 1;

constexpr int FirstFinalStatus = 200;

/// Answers of these statuses have no body, whatever their head says of one.
int bodyAfter(int Status) noexcept {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Status == NoContent || Status == NotModified ? NoBody : BodyFollows;
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

} // namespace

answer_parser::answer_parser(const http_call &Call, std::string Server)
    : Call(Call), Server(std::move(Server)) {}

void answer_parser::start() {
  http_parser_init(&Parser, HTTP_RESPONSE);
  Parser.data = this;
  Head = {};
  BodyFault = body_fault::None;
  BytesRead = BodyBytes = 0;
  Begun = Complete = Skipping = false;
  resetFields();
}

std::size_t answer_parser::read(std::string_view Bytes) {
  BytesRead += Bytes.size();
  std::size_t Used = 0;
  while (Used < Bytes.size() && !Complete && !Stopped && fault().empty()) {
    Used += readSome(Bytes.substr(Used));
  }
  return Used;
}

void answer_parser::readEnd() {
  static const http_parser_settings Settings = parserSettings();
  http_parser_execute(&Parser, &Settings, nullptr, 0);
}

bool answer_parser::isTooLong() const noexcept {
  return BodyBytes > Call.MaxBodyBytes || HeadBytes > MaxHeadBytes ||
         Headers.size() > MaxHeadFields ||
         BytesRead >
             BodyBytes + MaxFramingBytes + MaxFramingPerBodyByte * BodyBytes;
}

std::string_view answer_parser::fault() const noexcept {
  if (isBroken(Head)) {
    return nameOf(Head.State);
  }
  if (BodyFault != body_fault::None) {
    return nameOf(BodyFault);
  }
  const auto Error = HTTP_PARSER_ERRNO(&Parser);
  return Error == HPE_OK ? std::string_view() : http_errno_name(Error);
}

std::size_t answer_parser::readSome(std::string_view Bytes) {
  if (Head.State == head_state::Complete) {
    return parse(Bytes);
  }
  const std::size_t Used = readHead(Head, Bytes);
  if (Head.State == head_state::Complete) {
    parse(std::exchange(Head.Text, {}));
  }
  return Used;
}

std::size_t answer_parser::parse(std::string_view Bytes) {
  static const http_parser_settings Settings = parserSettings();
  const std::size_t Used =
      http_parser_execute(&Parser, &Settings, Bytes.data(), Bytes.size());
  const std::size_t Kept = std::min(Used, LastParsed.size());
  for (const char Byte : Bytes.substr(Used - Kept, Kept)) {
    LastParsed = {LastParsed[1], Byte};
  }
  if (HTTP_PARSER_ERRNO(&Parser) == HPE_PAUSED) {
    http_parser_pause(&Parser, 0);
    onPaused();
  }
  return Used;
}

void answer_parser::onPaused() {
  // The parser takes any bytes for the end of a line between chunks.
  const bool IsChunked = (Parser.flags & F_CHUNKED) != 0;
  const bool LineEnded = LastParsed == std::array<char, 2>{'\r', '\n'};
  if (IsChunked && !LineEnded) {
    BodyFault = body_fault::MalformedChunk;
    Complete = false;
  } else if (Stop == parser_stop::Answer) {
    Head = {}; // what follows begins with a head
  }
}

int answer_parser::pause(parser_stop At) noexcept {
  Stop = At;
  http_parser_pause(&Parser, 1);
  return GoOn;
}

answer_parser &answer_parser::of(http_parser *Parser) noexcept {
  return *static_cast<answer_parser *>(Parser->data);
}

http_parser_settings answer_parser::parserSettings() noexcept {
  http_parser_settings Settings{};
  Settings.on_message_begin = [](http_parser *Parser) {
    of(Parser).resetFields();
    return GoOn;
  };
  Settings.on_header_field = [](http_parser *Parser, const char *At,
                                std::size_t Size) {
    auto &Self = of(Parser);
    if (Self.InValue) {
      Self.noteField();
    }
    return Self.addHeadBytes(Self.Name, {At, Size});
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
    return of(Parser).onBody({At, Size});
  };
  Settings.on_message_complete = [](http_parser *Parser) {
    return of(Parser).onMessageComplete();
  };
  Settings.on_chunk_header = [](http_parser *Parser) {
    return of(Parser).pause(parser_stop::ChunkLine);
  };
  Settings.on_chunk_complete = [](http_parser *Parser) {
    // The last chunk ends with the answer.
    const bool IsLast = (Parser->flags & F_TRAILING) != 0;
    return IsLast ? GoOn : of(Parser).pause(parser_stop::ChunkLine);
  };
  return Settings;
}

int answer_parser::onHeadersComplete() {
  noteField();
  if (Headers.size() > MaxHeadFields) {
    return EndParser;
  }
  const int Status = Parser.status_code;
  if (Status < FirstFinalStatus) {
    return NoBody; // whatever an interim answer says of its length
  }
  if (hasUnknownTransferCoding(Headers)) {
    BodyFault = body_fault::UnknownTransferCoding;
    return EndParser;
  }
  Skipping = Call.IsAnswer && !Call.IsAnswer(Headers);
  if (Skipping) {
    SkippedAny = true;
    logEvent(log_level::Info, "stray_answer",
             {{"server", Server}, {"status", Status}});
    return bodyAfter(Status);
  }
  Begun = true;
  if (Call.OnHeaders) {
    Call.OnHeaders(Status, Headers);
  }
  return Call.Method == "HEAD" ? NoBody : bodyAfter(Status);
}

int answer_parser::onBody(std::string_view Bytes) {
  if (Skipping) {
    return GoOn;
  }
  BodyBytes += Bytes.size();
  const bool TooLong = BodyBytes > Call.MaxBodyBytes;
  if (!TooLong && !Stopped && Call.OnBody) {
    Call.OnBody(Bytes);
  }
  return Stopped || TooLong ? EndParser : GoOn;
}

int answer_parser::onMessageComplete() {
  const bool Interim = Parser.status_code < FirstFinalStatus;
  Complete = !Interim && !Skipping;
  Skipping = false;
  return pause(parser_stop::Answer);
}

void answer_parser::resetFields() {
  Headers.clear();
  Name.clear();
  Value.clear();
  InValue = false;
  HeadBytes = 0;
}

void answer_parser::noteField() {
  if (!Name.empty()) {
    Headers.emplace_back(std::move(Name), std::move(Value));
  }
  Name.clear();
  Value.clear();
  InValue = false;
}

int answer_parser::addHeadBytes(std::string &To, std::string_view Bytes) {
  HeadBytes += Bytes.size();
  if (HeadBytes > MaxHeadBytes || Headers.size() > MaxHeadFields) {
    return EndParser;
  }
  To += Bytes;
  return GoOn;
}

} // namespace arbutus::net::impl
