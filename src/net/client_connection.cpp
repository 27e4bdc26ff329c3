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
/// Handling the bytes of one read for longer than this is logged: all other
/// connections of the event loop wait meanwhile.
constexpr duration LongReadThreshold = 20ms;

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
    : Socket(Io), Server(std::move(Server)), Timer(Io),
      Answer(Call, this->Server.address().to_string()) {}

void client_connection::start(http_call NewCall, end_function NewOnEnd) {
  Call = std::move(NewCall);
  OnEnd = std::move(NewOnEnd);
  OnIdleEnd = nullptr;
  RequestHead = requestHead(Call);
  Write = write_state::Running;
  AnySent = false;
  Deadline = monotonic_clock::now() + Call.Timeout;
  Answer.start();
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
  const instant Begin = monotonic_clock::now();
  const std::size_t Used = Answer.read(Bytes);
  logLongRead(Bytes.size(), monotonic_clock::now() - Begin);
  if (Closed) {
    return;
  }
  if (Answer.isComplete()) {
    Stray = Stray || Used < Bytes.size();
    end(call_outcome::Complete);
    return;
  }
  if (Answer.isTooLong()) {
    logEvent(log_level::Warning, "answer_too_long",
             {{"server", Server.address().to_string()},
              {"bytes", Answer.bytes()},
              {"body_bytes", Answer.bodyBytes()}});
    end(brokenOutcome());
    return;
  }
  if (const auto Fault = Answer.fault(); !Fault.empty()) {
    logEvent(log_level::Info, "answer_unreadable",
             {{"server", Server.address().to_string()}, {"reason", Fault}});
    if (Call.OnUnreadable) {
      Call.OnUnreadable();
    }
    end(brokenOutcome());
    return;
  }
  read();
}

void client_connection::logLongRead(std::size_t Bytes, duration Time) const {
  if (Time > LongReadThreshold) {
    logEvent(log_level::Warning, "long_read",
             {{"server", Server.address().to_string()},
              {"bytes", Bytes},
              {"body_bytes", Answer.bodyBytes()},
              {"duration_us", toMicros(Time)}});
  }
}

call_outcome client_connection::brokenOutcome() const noexcept {
  return Answer.hasBegun() ? call_outcome::AnswerBroken
                           : call_outcome::SentNoAnswer;
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
  const auto Self = shared_from_this();
  if (Write != write_state::Failed) {
    Answer.readEnd();
    if (Closed) {
      return;
    }
  }
  if (Answer.isComplete()) {
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
  if (Call.FreshConnection || Stray || Answer.hasSkipped() ||
      Write != write_state::Done || !Answer.keepsAlive()) {
    return std::nullopt;
  }
  const duration Kept =
      keepAliveOf(Answer.headers()).value_or(DefaultKeepAlive);
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
  Answer.stop();
  OnEnd = nullptr;
  OnIdleEnd = nullptr;
  asio::error_code Ignored; // there is nothing left to do with the socket
  Socket.close(Ignored);
  Timer.cancel();
}

} // namespace arbutus::net::impl
