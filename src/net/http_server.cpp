#include "net/http_server.h"

#include <restinio/all.hpp>
#include <sys/socket.h>

#include <optional>
#include <unordered_map>

namespace arbutus::net {

namespace {

class exchange_impl;

/// What a server knows of its connections.
struct open_exchanges {
  /// Exchanges in progress by connection, so that a closed connection reaches
  /// the exchange that it belonged to.
  std::unordered_multimap<std::uint64_t, std::weak_ptr<exchange_impl>> ById;
  std::size_t Connections = 0;
  /// With more connections than this, each is closed after its answer.
  std::size_t CloseAbove = 0;

  [[nodiscard]] bool crowded() const noexcept {
    return CloseAbove != 0 && Connections > CloseAbove;
  }
};

/// Tells exchanges that their connection was closed.
class close_listener {
public:
  explicit close_listener(open_exchanges &Open) : Open(&Open) {}
  void stateChanged(const restinio::connection_state::notice_t &Notice);
  // Name set by RESTinio.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const restinio::connection_state::notice_t &Notice) {
    stateChanged(Notice);
  }

private:
  open_exchanges *Open;
};

struct server_traits : restinio::default_single_thread_traits_t {
  using connection_state_listener_t = close_listener;
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
};

using restinio_server = restinio::http_server_t<server_traits>;
using chunked_builder =
    restinio::response_builder_t<restinio::chunked_output_t>;

/// Headers that the server itself sets or that belong to one connection.
bool isConnectionHeader(std::string_view Name) noexcept {
  return sameHeaderName(Name, "content-length") ||
         sameHeaderName(Name, "connection") ||
         sameHeaderName(Name, "transfer-encoding") ||
         sameHeaderName(Name, "keep-alive");
}

class exchange_impl final : public http_exchange {
public:
  exchange_impl(restinio::request_handle_t Handle, open_exchanges &Open)
      : Handle(std::move(Handle)), Open(&Open),
        Connection(restinio::impl::access_req_connection(*this->Handle)) {
    const auto &Header = this->Handle->header();
    Request.Method = Header.method().c_str();
    Request.Target = Header.request_target();
    Header.for_each_field([this](const auto &Field) {
      Request.Headers.emplace_back(Field.name(), Field.value());
    });
    Request.Body = this->Handle->body();
    Request.RemoteAddress =
        this->Handle->remote_endpoint().address().to_string();
  }

  ~exchange_impl() override {
    if (!Answered && Handle) {
      try {
        Handle->create_response(restinio::status_internal_server_error())
            .done();
      } catch (...) { // The connection is gone; there is nobody to tell.
        Answered = true;
      }
    }
  }

  const http_request &request() const noexcept override { return Request; }

  std::string takeBody() override { return std::move(Request.Body); }

  void respond(http_response Response) override {
    if (Answered) {
      return;
    }
    Answered = true;
    Finished = true;
    Disconnected = nullptr;
    auto Builder = Handle->create_response(status(Response.Status));
    addHeaders(Builder, Response.Headers);
    if (Response.Close || Open->crowded()) {
      Builder.connection_close();
    }
    Builder.set_body(std::move(Response.Body));
    Builder.done();
    release();
  }

  void beginStream(int Status, const http_headers &Headers) override {
    if (Answered) {
      return;
    }
    Answered = true;
    Stream.emplace(
        Handle->create_response<restinio::chunked_output_t>(status(Status)));
    addHeaders(*Stream, Headers);
    if (Open->crowded()) {
      Stream->connection_close();
    }
    Stream->flush();
  }

  void writeChunk(std::string Chunk) override {
    if (Stream && !Finished && !Chunk.empty()) {
      Stream->append_chunk(std::move(Chunk));
      Stream->flush();
    }
  }

  void endStream() override {
    if (Stream && !Finished) {
      Finished = true;
      Disconnected = nullptr;
      Stream->done();
      release();
    }
  }

  void abort() override {
    if (!Stream || Finished) {
      return;
    }
    Finished = true;
    Disconnected = nullptr;
    release();
    closeConnection();
  }

  bool answered() const noexcept override { return Answered; }

  void onDisconnect(std::function<void()> Callback) override {
    Disconnected = std::move(Callback);
  }

  void connectionClosed() {
    if (Finished) {
      return;
    }
    Finished = true;
    Answered = true;
    if (const auto Callback = std::exchange(Disconnected, nullptr)) {
      Callback();
    }
  }

  std::uint64_t connectionId() const noexcept {
    return Handle->connection_id();
  }

private:
  static restinio::http_status_line_t status(int Code) {
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(Code)),
            Code < 400 ? "OK" : "Error"};
  }

  template <class Builder>
  static void addHeaders(Builder &Target, const http_headers &Headers) {
    for (const auto &[Name, Value] : Headers) {
      if (!isConnectionHeader(Name)) {
        Target.header().add_field(Name, Value);
      }
    }
  }

  /// Removes this exchange from the table of open ones.
  void release() {
    const auto [First, Last] = Open->ById.equal_range(connectionId());
    for (auto It = First; It != Last; ++It) {
      if (It->second.lock().get() == this) {
        Open->ById.erase(It);
        return;
      }
    }
  }

  /// RESTinio has no call that closes a connection in the middle of an answer,
  /// but it lets a protocol upgrade take the socket; the taken socket is closed
  /// at once.
  void closeConnection() {
    using connection = restinio::impl::connection_t<server_traits>;
    const auto Strong = Connection.lock();
    if (auto *Concrete = dynamic_cast<connection *>(Strong.get())) {
      auto Taken = Concrete->move_upgrade_internals();
      asio::error_code Ignored; // the socket is gone either way
      Taken.m_socket.close(Ignored);
      --Open->Connections; // RESTinio reports no close of a taken socket
    }
  }

  restinio::request_handle_t Handle;
  open_exchanges *Open;
  std::weak_ptr<restinio::impl::connection_base_t> Connection;
  http_request Request;
  std::optional<chunked_builder> Stream;
  std::function<void()> Disconnected;
  bool Answered = false;
  bool Finished = false;
};

void close_listener::stateChanged(
    const restinio::connection_state::notice_t &Notice) {
  namespace cause = restinio::connection_state;
  if (restinio::holds_alternative<cause::accepted_t>(Notice.cause())) {
    ++Open->Connections;
  }
  if (!restinio::holds_alternative<cause::closed_t>(Notice.cause())) {
    return;
  }
  --Open->Connections;
  const auto [First, Last] = Open->ById.equal_range(Notice.connection_id());
  std::vector<std::shared_ptr<exchange_impl>> Closed;
  for (auto It = First; It != Last; ++It) {
    if (auto Exchange = It->second.lock()) {
      Closed.push_back(std::move(Exchange));
    }
  }
  Open->ById.erase(First, Last);
  for (const auto &Exchange : Closed) {
    Exchange->connectionClosed();
  }
}

restinio::request_handling_status_t handle(open_exchanges &Open,
                                           const http_handler &Handler,
                                           restinio::request_handle_t Request) {
  auto Exchange = std::make_shared<exchange_impl>(std::move(Request), Open);
  Open.ById.emplace(Exchange->connectionId(), Exchange);
  Handler(Exchange);
  return restinio::request_accepted();
}

} // namespace

struct http_server::state {
  open_exchanges Open;
  std::unique_ptr<restinio_server> Server;
};

http_server::http_server(asio::io_context &Io,
                         const http_server_options &Options,
                         http_handler Handler)
    : State(std::make_unique<state>()) {
  using namespace std::chrono_literals;
  State->Open.CloseAbove = Options.CloseAbove;
  // Answers may take as long as a stream runs; the request's own deadline, not
  // the server's timers, ends them.
  static constexpr auto LongestAnswer = 1h;
  static constexpr auto IdleConnection = 2min;
  using reuse_port =
      asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  State->Server = std::make_unique<restinio_server>(
      restinio::external_io_context(Io), [&](auto &Settings) {
        Settings.address(Options.Address)
            .port(Options.Port)
            .max_pipelined_requests(2) // reading on shows a disconnect
            .handle_request_timeout(LongestAnswer)
            .write_http_response_timelimit(LongestAnswer)
            .read_next_http_message_timelimit(IdleConnection)
            .concurrent_accepts_count(4)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}
                    .max_body_size(Options.HardBodyBytes)
                    .max_url_size(Options.HardHeaderBytes)
                    .max_field_name_size(Options.HardHeaderBytes)
                    .max_field_value_size(Options.HardHeaderBytes)
                    .max_field_count(200))
            .acceptor_options_setter([](auto &Acceptor) {
              Acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
              Acceptor.set_option(reuse_port(true));
            })
            .socket_options_setter([](auto &Socket) {
              Socket.set_option(asio::ip::tcp::no_delay(true));
            })
            .connection_state_listener(
                std::make_shared<close_listener>(State->Open))
            .request_handler([&Open = State->Open,
                              Handler = std::move(Handler)](auto Request) {
              return handle(Open, Handler, std::move(Request));
            });
      });
  State->Server->open_sync();
}

http_server::~http_server() = default;

void http_server::stopAccepting() { State->Server->close_sync(); }

} // namespace arbutus::net
