#include "net/connection_acceptor.h"

#include "base/log.h"
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace arbutus::net {

namespace {

/// Connections that are taken before other events have their turn.
constexpr int MostPerTurn = 256;
/// Connections that may wait in the kernel. With more, those at the end of a
/// long queue are taken after their callers have left.
constexpr int Backlog = 256;
/// Pause after a connection could not be accepted, for example for want of
/// descriptors.
constexpr auto ErrorPause = std::chrono::milliseconds(20);

/// Time in which a refused caller reads its answer.
constexpr duration RefusedLifetime = 200ms;
/// Refused connections that stay open at a time.
constexpr std::size_t MostRefused = 256;

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

connection_acceptor::connection_acceptor(asio::io_context &Io,
                                         const asio::ip::tcp::endpoint &At,
                                         bool ReusePort,
                                         socket_function OnSocket,
                                         admit_function Admit)
    : Protocol(At.protocol()), Acceptor(Io), PauseTimer(Io), ClosingTimer(Io),
      OnSocket(std::move(OnSocket)), Admit(std::move(Admit)) {
  Acceptor.open(At.protocol());
  Acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  Acceptor.set_option(reuse_port(ReusePort));
  Acceptor.bind(At);
  Acceptor.listen(Backlog);
  Acceptor.non_blocking(true);
  waitForConnections();
}

connection_acceptor::~connection_acceptor() { closeRefused(instant::max()); }

asio::ip::tcp::endpoint connection_acceptor::endpoint() const {
  return Acceptor.local_endpoint();
}

void connection_acceptor::close() noexcept {
  asio::error_code Ignored; // the listener is gone either way
  Acceptor.close(Ignored);
  PauseTimer.cancel();
}

void connection_acceptor::waitForConnections() {
  Acceptor.async_wait(asio::ip::tcp::acceptor::wait_read,
                      [this](const asio::error_code &Error) {
                        if (!Error) {
                          acceptWaiting();
                        }
                      });
}

void connection_acceptor::acceptWaiting() {
  for (int I = 0; I < MostPerTurn && Acceptor.is_open(); ++I) {
    const int Descriptor =
        ::accept4(Acceptor.native_handle(), nullptr, nullptr, SOCK_CLOEXEC);
    if (Descriptor >= 0) {
      const auto Refusal = Admit ? Admit() : std::nullopt;
      Refusal ? refuse(Descriptor, *Refusal) : take(Descriptor);
      continue;
    }
    if (errno == EAGAIN) {
      break;
    }
    if (errno == ECONNABORTED || errno == EINTR) {
      continue; // the caller left first
    }
    logEvent(log_level::Warning, "accept_failed",
             {{"reason", std::generic_category().message(errno)}});
    pause();
    return;
  }
  waitForConnections();
}

void connection_acceptor::take(int Descriptor) {
  asio::ip::tcp::socket Socket(Acceptor.get_executor());
  asio::error_code Error;
  Socket.assign(Protocol, Descriptor, Error);
  if (Error) {
    ::close(Descriptor);
    logEvent(log_level::Warning, "accept_failed",
             {{"reason", Error.message()}});
    return;
  }
  OnSocket(std::move(Socket));
}

/// Uses no Asio socket, which would be added to the event loop and removed
/// again.
void connection_acceptor::refuse(int Descriptor, const std::string &Answer) {
  // The caller may be gone already, which changes nothing here.
  (void)::send(Descriptor, Answer.data(), Answer.size(),
               MSG_NOSIGNAL | MSG_DONTWAIT);
  (void)::shutdown(Descriptor, SHUT_WR);
  const instant Now = monotonic_clock::now();
  Refused.emplace_back(Descriptor, Now + RefusedLifetime);
  closeRefused(Now);
  if (Refused.size() == 1) {
    armClosing();
  }
}

void connection_acceptor::closeRefused(instant Now) noexcept {
  while (!Refused.empty() &&
         (Refused.front().second <= Now || Refused.size() > MostRefused)) {
    ::close(Refused.front().first);
    Refused.pop_front();
  }
}

void connection_acceptor::armClosing() {
  ClosingTimer.expires_after(RefusedLifetime);
  ClosingTimer.async_wait([this](const asio::error_code &Error) {
    if (Error) {
      return;
    }
    closeRefused(monotonic_clock::now());
    if (!Refused.empty()) {
      armClosing();
    }
  });
}

void connection_acceptor::pause() {
  PauseTimer.expires_after(ErrorPause);
  PauseTimer.async_wait([this](const asio::error_code &Error) {
    if (!Error) {
      waitForConnections();
    }
  });
}

} // namespace arbutus::net
