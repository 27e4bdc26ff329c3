#include "net/http_server.h"

#include "base/log.h"
#include "net/chunk_queue.h"
#include "net/connection_acceptor.h"
#include "net/connection_budget.h"
#include "net/loop_lag.h"
#include <fmt/format.h>
#include <restinio/all.hpp>

#include <limits>
#include <map>
#include <optional>
#include <unordered_map>

namespace arbutus::net {

namespace {

class exchange_impl;
struct open_exchanges;

/// A connection and the request that it is receiving.
struct receiving_connection {
  open_exchanges *Open = nullptr;
  /// Key in `connectionIndex`.
  std::uintptr_t Address = 0;
  std::weak_ptr<restinio::impl::connection_base_t> Connection;
  /// Null until the first byte of the body.
  std::unique_ptr<request_body> Body;
  std::size_t AnnouncedBytes = 0;
  bool BodyTooLong = false;
};

/// The connections of a thread by address, because the parser's callbacks know
/// only an object inside of the connection.
using connection_index = std::map<std::uintptr_t, receiving_connection *>;

connection_index &connectionIndex() {
  thread_local connection_index Index;
  return Index;
}

/// What a server knows of its connections.
struct open_exchanges {
  body_memory *Bodies = nullptr;
  std::function<std::size_t()> MaxBodyBytes;
  std::unordered_map<std::uint64_t, receiving_connection> Receiving;

  ~open_exchanges() {
    while (!Receiving.empty()) {
      forget(Receiving.begin()->first);
    }
  }

  /// Drops what is known of a connection.
  void forget(std::uint64_t Id) {
    const auto Found = Receiving.find(Id);
    if (Found == Receiving.end()) {
      return;
    }
    // A later connection may have the same address.
    auto &Index = connectionIndex();
    const auto Indexed = Index.find(Found->second.Address);
    if (Indexed != Index.end() && Indexed->second == &Found->second) {
      Index.erase(Indexed);
    }
    Receiving.erase(Found);
  }

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

using chunked_builder =
    restinio::response_builder_t<restinio::chunked_output_t>;

/// Headers that the server itself sets or that belong to one connection.
bool isConnectionHeader(std::string_view Name) noexcept {
  return sameHeaderName(Name, "content-length") ||
         sameHeaderName(Name, "connection") ||
         sameHeaderName(Name, "transfer-encoding") ||
         sameHeaderName(Name, "keep-alive");
}

using restinio_connection = restinio::impl::connection_t<server_traits>;

/// RESTinio has no call that closes a connection in the middle of a request or
/// answer, but it lets a protocol upgrade take the socket; the taken socket is
/// closed at once.
void closeConnection(
    const std::weak_ptr<restinio::impl::connection_base_t> &Connection,
    open_exchanges &Open) {
  const auto Strong = Connection.lock();
  if (auto *Concrete = dynamic_cast<restinio_connection *>(Strong.get())) {
    auto Taken = Concrete->move_upgrade_internals();
    asio::error_code Ignored; // the socket is gone either way
    Taken.m_socket.close(Ignored);
    --Open.Connections; // RESTinio reports no close of a taken socket
    Open.forget(Concrete->connection_id());
  }
}

class exchange_impl final : public http_exchange,
                            public std::enable_shared_from_this<exchange_impl> {
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
    takeReceived();
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
    // Behind the answer to a request whose body was not read come its bytes.
    if (Response.Close || Request.BodyTooLong || Open->crowded()) {
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
  }

  void writeChunk(std::string Chunk) override {
    if (Stream && !Finished && !Chunk.empty()) {
      Waiting.push(std::move(Chunk));
      writeWaiting();
    }
  }

  std::size_t unsentBytes() const noexcept override {
    return WritingBytes + Waiting.bytes();
  }

  void endStream() override {
    if (Stream && !Finished) {
      Finished = true;
      Disconnected = nullptr;
      while (!Waiting.empty()) {
        Stream->append_chunk(Waiting.pop());
      }
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
    Waiting.clear();
    release();
    closeConnection(Connection, *Open);
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
    Waiting.clear();
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

  /// Starts the next write unless one is running. RESTinio keeps an entry of
  /// over 200 bytes for each write that waits, and moves all of them when one
  /// is done, so only one at a time is given to it.
  void writeWaiting() {
    if (WritingBytes != 0 || Waiting.empty()) {
      return;
    }
    std::string Chunk = Waiting.pop();
    WritingBytes = Chunk.size();
    Stream->append_chunk(std::move(Chunk));
    Stream->flush([Weak = weak_from_this()](const asio::error_code &Error) {
      if (const auto Self = Weak.lock()) {
        Self->onWritten(Error);
      }
    });
  }

  /// After an error the connection is closed, which `connectionClosed` tells.
  void onWritten(const asio::error_code &Error) {
    WritingBytes = 0;
    if (!Error && !Finished) {
      writeWaiting();
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

  /// Takes the body over from the connection.
  void takeReceived() {
    const auto Found = Open->Receiving.find(connectionId());
    if (Found == Open->Receiving.end()) {
      return;
    }
    auto &Received = Found->second;
    Request.BodyTooLong = std::exchange(Received.BodyTooLong, false);
    Body = std::move(Received.Body);
    if (Body) {
      Body->complete();
      Request.Body = Body->take();
    }
  }

  restinio::request_handle_t Handle;
  open_exchanges *Open;
  std::weak_ptr<restinio::impl::connection_base_t> Connection;
  http_request Request;
  /// Keeps the memory of the body until the request has ended.
  std::unique_ptr<request_body> Body;
  std::optional<chunked_builder> Stream;
  /// Bytes of the write that is running; 0 if there is none.
  std::size_t WritingBytes = 0;
  /// Bytes of the stream behind that write.
  chunk_queue Waiting;
  std::function<void()> Disconnected;
  bool Answered = false;
  bool Finished = false;
};

/// Tells the exchanges of a connection that it was closed.
void endExchanges(open_exchanges &Open, std::uint64_t Connection);

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
  Open->forget(Notice.connection_id());
  endExchanges(*Open, Notice.connection_id());
}

void endExchanges(open_exchanges &Open, std::uint64_t Connection) {
  const auto [First, Last] = Open.ById.equal_range(Connection);
  std::vector<std::shared_ptr<exchange_impl>> Closed;
  for (auto It = First; It != Last; ++It) {
    if (auto Exchange = It->second.lock()) {
      Closed.push_back(std::move(Exchange));
    }
  }
  Open.ById.erase(First, Last);
  for (const auto &Exchange : Closed) {
    Exchange->connectionClosed();
  }
}

/// Closes a connection whose request gives way to others.
void evictConnection(
    const std::weak_ptr<restinio::impl::connection_base_t> &Connection,
    open_exchanges &Open) {
  const auto Strong = Connection.lock();
  if (!Strong) {
    return;
  }
  const auto Id = Strong->connection_id();
  closeConnection(Connection, Open);
  endExchanges(Open, Id);
}

/// The connection whose request the parser reads, or null.
receiving_connection *receivingOf(const http_parser *Parser) {
  const auto Inside = reinterpret_cast<std::uintptr_t>(Parser->data);
  auto &Index = connectionIndex();
  const auto After = Index.upper_bound(Inside);
  if (After == Index.begin()) {
    return nullptr;
  }
  const auto &[Begin, Receiving] = *std::prev(After);
  return Inside < Begin + sizeof(restinio_connection) ? Receiving : nullptr;
}

/// Return values of the parser's callbacks.
constexpr int GoOn = 0;
constexpr int StopWithError = -1;
constexpr int SkipBody = 1;

int onHeadersComplete(http_parser *Parser) {
  auto *Context =
      static_cast<restinio::impl::http_parser_ctx_t *>(Parser->data);
  Context->m_leading_headers_completed = true;
  auto *Receiving = receivingOf(Parser);
  if (Receiving == nullptr) {
    return StopWithError;
  }
  Receiving->Body = nullptr;
  Receiving->AnnouncedBytes = 0;
  Receiving->BodyTooLong = false;
  constexpr auto Unknown = std::numeric_limits<std::uint64_t>::max();
  if (Parser->content_length == Unknown) {
    return GoOn;
  }
  Receiving->AnnouncedBytes = Parser->content_length;
  Receiving->BodyTooLong =
      Parser->content_length > Receiving->Open->MaxBodyBytes();
  return Receiving->BodyTooLong ? SkipBody : GoOn;
}

int onBody(http_parser *Parser, const char *At, std::size_t Size) {
  auto *Receiving = receivingOf(Parser);
  if (Receiving == nullptr) {
    return StopWithError;
  }
  auto &Open = *Receiving->Open;
  if (!Receiving->Body) {
    Receiving->Body = std::make_unique<request_body>(
        *Open.Bodies, [&Open, Connection = Receiving->Connection] {
          evictConnection(Connection, Open);
        });
    Receiving->Body->setAnnouncedBytes(Receiving->AnnouncedBytes);
  }
  auto &Body = *Receiving->Body;
  const auto Limit = Open.MaxBodyBytes();
  if (Body.size() + Size > Limit) {
    logEvent(log_level::Info, "body_too_long",
             {{"bytes", Body.size() + Size}, {"limit_bytes", Limit}});
    return StopWithError;
  }
  return Body.append({At, Size}, monotonic_clock::now()) ? GoOn : StopWithError;
}

/// RESTinio's parser, but that bodies take from `body_memory`, and that the
/// boundaries of chunks are not kept.
http_parser_settings parserSettings() {
  auto Settings = restinio::impl::create_parser_settings<
      server_traits::http_methods_mapper_t>();
  Settings.on_headers_complete = onHeadersComplete;
  Settings.on_body = onBody;
  Settings.on_chunk_header = [](http_parser *) { return GoOn; };
  return Settings;
}

restinio::request_handling_status_t handle(open_exchanges &Open,
                                           const http_handler &Handler,
                                           restinio::request_handle_t Request) {
  auto Exchange = std::make_shared<exchange_impl>(std::move(Request), Open);
  Open.ById.emplace(Exchange->connectionId(), Exchange);
  Handler(Exchange);
  return restinio::request_accepted();
}

/// Answers may take as long as a stream runs; the request's own deadline, not
/// the server's timers, ends them.
constexpr auto LongestAnswer = std::chrono::hours(1);
constexpr auto IdleConnection = std::chrono::minutes(2);
/// Header fields of one request.
constexpr std::size_t MostFields = 200;

restinio::server_settings_t<server_traits>
restinioSettings(const http_server_options &Options, open_exchanges &Open,
                 http_handler Handler) {
  restinio::server_settings_t<server_traits> Settings;
  Settings
      .max_pipelined_requests(2) // reading on shows a disconnect
      .handle_request_timeout(LongestAnswer)
      .write_http_response_timelimit(LongestAnswer)
      .read_next_http_message_timelimit(IdleConnection)
      .incoming_http_msg_limits(
          restinio::incoming_http_msg_limits_t{}
              .max_url_size(Options.HardHeaderFieldLimit)
              .max_field_name_size(Options.HardHeaderFieldLimit)
              .max_field_value_size(Options.HardHeaderFieldLimit)
              .max_field_count(MostFields))
      .socket_options_setter([](auto &Socket) {
        Socket.set_option(asio::ip::tcp::no_delay(true));
      })
      .connection_state_listener(std::make_shared<close_listener>(Open))
      .request_handler([&Open, Handler = std::move(Handler)](auto Request) {
        return handle(Open, Handler, std::move(Request));
      });
  return Settings;
}

/// RESTinio's connections without its own acceptor, which takes four
/// connections in a turn of the loop and none ever again after four errors.
class connection_source {
public:
  using factory = restinio::impl::connection_factory_t<server_traits>;
  using connection_settings =
      restinio::impl::connection_settings_t<server_traits>;
  connection_source(asio::io_context &Io, open_exchanges &Open,
                    restinio::server_settings_t<server_traits> Settings)
      : Open(Open), Timers(Settings.timer_factory()->create(Io)),
        Factory(std::make_shared<connection_settings>(std::move(Settings),
                                                      parserSettings(), Timers),
                Settings.socket_options_setter()) {
    Timers->start();
  }
  connection_source(const connection_source &) = delete;
  connection_source &operator=(const connection_source &) = delete;
  ~connection_source() { Timers->stop(); }

  /// Reads requests from a new connection. Throws when it is gone already.
  void add(asio::ip::tcp::socket Socket) {
    auto Remote = Socket.remote_endpoint();
    const auto Connection =
        Factory.create_new_connection(std::move(Socket), std::move(Remote),
                                      factory::lifetime_monitor_t(&Unlimited));
    auto &Receiving = Open.Receiving[Connection->connection_id()];
    Receiving.Open = &Open;
    Receiving.Address = reinterpret_cast<std::uintptr_t>(Connection.get());
    Receiving.Connection = Connection;
    connectionIndex()[Receiving.Address] = &Receiving;
    Connection->init();
  }

private:
  /// RESTinio's connections tell this when they begin and end; it does nothing.
  struct no_acceptor final
      : restinio::connection_count_limits::impl::acceptor_callback_iface_t {
    // Names set by RESTinio.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void call_accept_now(std::size_t) noexcept override {}
    // NOLINTNEXTLINE(readability-identifier-naming)
    void schedule_next_accept_attempt(std::size_t) noexcept override {}
  };

  using no_limit =
      restinio::connection_count_limits::noop_connection_count_limiter_t;

  open_exchanges &Open;
  no_acceptor None;
  no_limit Unlimited{
      &None, restinio::connection_count_limits::max_parallel_connections_t{0},
      restinio::connection_count_limits::max_active_accepts_t{0}};
  std::shared_ptr<restinio::asio_timer_manager_t> Timers;
  factory Factory;
};

/// Answer to a caller whose request is not read. Callers are told to return
/// over a time that spreads them.
std::string shedAnswer(std::uint64_t Number) {
  constexpr double LeastSeconds = 0.5;
  constexpr double SpreadSeconds = 1;
  constexpr std::uint64_t Steps = 16;
  const double Place = static_cast<double>(Number % Steps) / Steps;
  return fmt::format("HTTP/1.1 503 Overloaded\r\nRetry-After: {:.2f}\r\n"
                     "Connection: close\r\nContent-Length: 0\r\n\r\n",
                     LeastSeconds + SpreadSeconds * Place);
}

} // namespace

struct http_server::state {
  state(asio::io_context &Io, const http_server_options &Options,
        body_memory &Bodies, http_handler Handler)
      : Connections(Io, Open,
                    restinioSettings(Options, Open, std::move(Handler))),
        Lag(Io), Budget(Options.ShedLagThreshold),
        Acceptor(
            Io, {asio::ip::make_address(Options.Address), Options.Port}, true,
            [this](asio::ip::tcp::socket Socket) { add(std::move(Socket)); },
            Options.ShedLagThreshold == duration::zero()
                ? connection_acceptor::admit_function()
                : [this] { return admit(); }) {
    Open.CloseAbove = Options.KeepAliveConnectionLimit;
    Open.Bodies = &Bodies;
    Open.MaxBodyBytes = Options.MaxBodyBytes;
  }

  void add(asio::ip::tcp::socket Socket) {
    try {
      Connections.add(std::move(Socket));
    } catch (const std::exception &Error) {
      logEvent(log_level::Debug, "connection_lost", {{"reason", Error.what()}});
    }
  }

  /// Empty to take a connection, else the answer that refuses it. Logs when
  /// refusing begins and ends.
  std::optional<std::string> admit() {
    const instant Now = monotonic_clock::now();
    const duration Late = Lag.measure(Now);
    const bool Before = Budget.limited();
    const bool Admitted = Budget.admit(Now, Late);
    if (Budget.limited() != Before) {
      logEvent(log_level::Warning, Before ? "shedding_ended" : "shedding",
               {{"loop_lag_us", toMicros(Late)},
                {"connections", Open.Connections},
                {"rate", Budget.rate()},
                {"shed", Budget.refused()}});
    }
    return Admitted ? std::nullopt
                    : std::optional(shedAnswer(Budget.refused()));
  }

  open_exchanges Open;
  connection_source Connections;
  loop_lag Lag;
  connection_budget Budget;
  connection_acceptor Acceptor;
};

http_server::http_server(asio::io_context &Io,
                         const http_server_options &Options,
                         body_memory &Bodies, http_handler Handler)
    : State(std::make_unique<state>(Io, Options, Bodies, std::move(Handler))) {}

http_server::~http_server() = default;

void http_server::stopAccepting() { State->Acceptor.close(); }

std::uint64_t http_server::refused() const noexcept {
  return State->Budget.refused();
}

} // namespace arbutus::net
