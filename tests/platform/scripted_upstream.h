#ifndef ARBUTUS_TESTS_PLATFORM_SCRIPTED_UPSTREAM_H
#define ARBUTUS_TESTS_PLATFORM_SCRIPTED_UPSTREAM_H

#include "net/http_message.h"
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <functional>
#include <istream>
#include <memory>
#include <string>
#include <utility>

namespace arbutus::platform::testing {

/// What an upstream sends for one request, byte for byte.
struct scripted_reply {
  enum class after {
    Keep,
    Close,
    Reset,
    ResetLater, ///< when the router has had time to read the answer
    Finish,     ///< closes the sending side and goes on reading
  };
  std::string Bytes;
  after After = after::Keep;
};

/// An upstream that answers each request by a function of its headers. Runs on
/// the event loop of the test, so that a test needs no threads. It answers as
/// soon as it has a request's head, and takes a long body slowly; only the last
/// request on a connection may have one.
class scripted_upstream {
public:
  using reply_function =
      std::function<scripted_reply(const net::http_headers &Headers)>;

  scripted_upstream(asio::io_context &Io, reply_function Reply)
      : Acceptor(Io, {asio::ip::address_v4::loopback(), 0}),
        Reply(std::move(Reply)) {
    constexpr int WindowBytes = 4096;
    Acceptor.set_option(asio::socket_base::receive_buffer_size(WindowBytes));
    accept();
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  /// Requests that arrived.
  int Requests = 0;

private:
  using tcp = asio::ip::tcp;
  struct connection {
    explicit connection(tcp::socket Socket) : Socket(std::move(Socket)) {}
    tcp::socket Socket;
    asio::streambuf Buffer;
    std::string Text;
  };
  using connection_ptr = std::shared_ptr<connection>;

  void accept() {
    Acceptor.async_accept(
        [this](const asio::error_code &Error, tcp::socket Socket) {
          if (Error) {
            return;
          }
          read(std::make_shared<connection>(std::move(Socket)));
          accept();
        });
  }

  void read(const connection_ptr &Connection) {
    asio::async_read_until(
        Connection->Socket, Connection->Buffer, "\r\n\r\n",
        [this, Connection](const asio::error_code &Error, std::size_t) {
          if (!Error) {
            answer(Connection);
          }
        });
  }

  void answer(const connection_ptr &Connection) {
    ++Requests;
    const auto Scripted = Reply(readHeaders(Connection->Buffer));
    Connection->Text = Scripted.Bytes;
    asio::async_write(Connection->Socket, asio::buffer(Connection->Text),
                      [this, Connection, After = Scripted.After](
                          const asio::error_code &Error, std::size_t) {
                        if (!Error) {
                          finish(Connection, After);
                        }
                      });
  }

  void finish(const connection_ptr &Connection, scripted_reply::after After) {
    if (After == scripted_reply::after::Keep) {
      read(Connection);
      return;
    }
    if (After == scripted_reply::after::Finish) {
      Connection->Socket.shutdown(tcp::socket::shutdown_send);
      read(Connection);
      return;
    }
    if (After == scripted_reply::after::ResetLater) {
      constexpr auto ResetDelay = std::chrono::milliseconds(5);
      const auto Timer = std::make_shared<asio::steady_timer>(
          Acceptor.get_executor(), ResetDelay);
      Timer->async_wait([this, Connection, Timer](const asio::error_code &) {
        finish(Connection, scripted_reply::after::Reset);
      });
      return;
    }
    if (After == scripted_reply::after::Reset) {
      Connection->Socket.set_option(asio::socket_base::linger(true, 0));
    }
    Connection->Socket.close();
  }

  static net::http_headers readHeaders(asio::streambuf &Buffer) {
    std::istream Stream(&Buffer);
    net::http_headers Headers;
    std::string Line;
    std::getline(Stream, Line); // request line
    while (std::getline(Stream, Line) && Line != "\r") {
      Line.pop_back();
      const auto Colon = Line.find(": ");
      Headers.emplace_back(Line.substr(0, Colon), Line.substr(Colon + 2));
    }
    return Headers;
  }

  tcp::acceptor Acceptor;
  reply_function Reply;
};

} // namespace arbutus::platform::testing

#endif
