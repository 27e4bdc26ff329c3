#include "common/http_server.h"

#include <restinio/all.hpp>

#include <cstdio>
#include <unordered_map>

namespace arbutus::tools {

namespace {

struct disconnect_listener;

constexpr std::size_t ReadBufferBytes = 16384;

/// Timeouts are off, because an engine may take as long as its flags say.
struct server_traits
    : restinio::traits_t<restinio::null_timer_manager_t,
                         restinio::null_logger_t,
                         std::function<restinio::request_handling_status_t(
                             restinio::request_handle_t)>,
                         restinio::noop_strand_t> {
  using connection_state_listener_t = disconnect_listener;
};

class restinio_exchange;

struct disconnect_listener {
  std::unordered_multimap<restinio::connection_id_t,
                          std::weak_ptr<restinio_exchange>>
      Open;

  void state_changed( // NOLINT: name set by RESTinio
      const restinio::connection_state::notice_t &Notice) noexcept;
};

class restinio_exchange final : public http_exchange {
public:
  using connection = restinio::impl::connection_t<server_traits>;
  using stream = restinio::response_builder_t<restinio::chunked_output_t>;

  restinio_exchange(restinio::request_handle_t Request,
                    disconnect_listener &Listener)
      : Request(std::move(Request)), Listener(&Listener),
        Connection(restinio::impl::access_req_connection(*this->Request)) {}

  ~restinio_exchange() override { unregister(); }

  void respond(int Status, std::string Body, http_headers Headers) override {
    if (Ended) {
      return;
    }
    auto Response = Request->create_response(statusLine(Status));
    for (auto &[Name, Value] : Headers) {
      Response.append_header(Name, Value);
    }
    Response.set_body(std::move(Body));
    end();
    Response.done();
  }

  void startStream(int Status, http_headers Headers) override {
    if (Ended || Stream) {
      return;
    }
    Stream = std::make_unique<stream>(
        Request->create_response<restinio::chunked_output_t>(
            statusLine(Status)));
    for (auto &[Name, Value] : Headers) {
      Stream->append_header(Name, Value);
    }
    Stream->flush();
  }

  void write(std::string Bytes) override {
    if (!Ended && Stream) {
      Stream->append_chunk(std::move(Bytes));
      Stream->flush();
    }
  }

  void finish() override {
    if (!Ended && Stream) {
      end();
      Stream->done();
    }
  }

  void abort() override {
    if (Ended) {
      return;
    }
    // RESTinio has no call to close a connection, but like a WebSocket upgrade
    // the socket can be moved out of it; it is then closed here.
    auto &Target = dynamic_cast<connection &>(*Connection);
    end();
    auto Internals = Target.move_upgrade_internals();
    restinio::asio_ns::error_code Ignored;
    Internals.m_socket.shutdown(
        restinio::asio_ns::ip::tcp::socket::shutdown_both, Ignored);
    Internals.m_socket.close(Ignored);
  }

  void disconnected() {
    if (!Ended) {
      end();
      if (OnDisconnect) {
        OnDisconnect();
      }
    }
  }

private:
  static restinio::http_status_line_t statusLine(int Status) {
    const char *Reason = Status < 300 ? "OK" : "Error";
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(Status)),
            Reason};
  }

  void end() {
    Ended = true;
    unregister();
  }

  void unregister() {
    auto [First, Last] = Listener->Open.equal_range(Request->connection_id());
    for (; First != Last; ++First) {
      const auto Owner = First->second.lock();
      if (!Owner || Owner.get() == this) {
        Listener->Open.erase(First);
        return;
      }
    }
  }

  restinio::request_handle_t Request;
  disconnect_listener *Listener;
  restinio::impl::connection_handle_t Connection;
  std::unique_ptr<stream> Stream;
  bool Ended = false;
};

void disconnect_listener::state_changed(
    const restinio::connection_state::notice_t &Notice) noexcept {
  if (!std::holds_alternative<restinio::connection_state::closed_t>(
          Notice.cause())) {
    return;
  }
  std::vector<std::shared_ptr<restinio_exchange>> Closed;
  auto [First, Last] = Open.equal_range(Notice.connection_id());
  for (auto It = First; It != Last; ++It) {
    if (auto Exchange = It->second.lock()) {
      Closed.push_back(std::move(Exchange));
    }
  }
  Open.erase(First, Last);
  for (const auto &Exchange : Closed) {
    Exchange->disconnected();
  }
}

http_request readRequest(const restinio::request_t &Request) {
  http_request Result;
  const auto &Header = Request.header();
  Result.Method = Header.method().c_str();
  Result.Path = std::string(Header.path());
  Result.Query = std::string(Header.query());
  Result.Body = Request.body();
  Header.for_each_field([&Result](const auto &Field) {
    Result.Headers.emplace_back(Field.name(), Field.value());
  });
  return Result;
}

bool equalIgnoringCase(std::string_view Left, std::string_view Right) noexcept {
  if (Left.size() != Right.size()) {
    return false;
  }
  for (std::size_t Index = 0; Index < Left.size(); ++Index) {
    if (std::tolower(static_cast<unsigned char>(Left[Index])) !=
        std::tolower(static_cast<unsigned char>(Right[Index]))) {
      return false;
    }
  }
  return true;
}

} // namespace

std::string_view http_request::header(std::string_view Name) const noexcept {
  for (const auto &[Key, Value] : Headers) {
    if (equalIgnoringCase(Key, Name)) {
      return Value;
    }
  }
  return {};
}

std::string http_request::queryValue(std::string_view Name) const {
  const auto Parsed = restinio::parse_query(Query);
  const auto Value =
      Parsed.get_param(restinio::string_view_t(Name.data(), Name.size()));
  return Value ? std::string(Value->data(), Value->size()) : std::string();
}

void http_exchange::respondJson(int Status, std::string Body,
                                http_headers Headers) {
  Headers.emplace_back("Content-Type", "application/json");
  respond(Status, std::move(Body), std::move(Headers));
}

struct http_server::state {
  std::uint16_t Port = 0;
  restinio::asio_ns::io_context Context{1};
  std::shared_ptr<disconnect_listener> Listener =
      std::make_shared<disconnect_listener>();
};

http_server::http_server(std::uint16_t Port)
    : State(std::make_unique<state>()) {
  State->Port = Port;
}

http_server::~http_server() = default;

void http_server::callAfter(duration Delay, std::function<void()> Callback) {
  auto Timer = std::make_shared<restinio::asio_ns::steady_timer>(
      State->Context, std::chrono::microseconds(Delay.count()));
  Timer->async_wait([Timer, Callback = std::move(Callback)](const auto &Error) {
    if (!Error) {
      Callback();
    }
  });
}

int http_server::run(handler Handler) {
  auto *Listener = State->Listener.get();
  auto OnRequest = [Listener, Handler = std::move(Handler)](
                       const restinio::request_handle_t &Request) {
    auto Parsed = readRequest(*Request);
    auto Exchange = std::make_shared<restinio_exchange>(Request, *Listener);
    Listener->Open.emplace(Request->connection_id(), Exchange);
    Handler(std::move(Parsed), Exchange);
    return restinio::request_accepted();
  };
  try {
    // A second pipelined request is allowed so that RESTinio keeps reading
    // during an answer and sees that the caller has closed the connection.
    restinio::http_server_t<server_traits> Server(
        restinio::external_io_context(State->Context),
        restinio::server_settings_t<server_traits>{}
            .address("127.0.0.1")
            .port(State->Port)
            .max_pipelined_requests(2)
            .buffer_size(ReadBufferBytes)
            .connection_state_listener(State->Listener)
            .socket_options_setter([](auto &Options) {
              Options.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
            })
            .request_handler(OnRequest));
    restinio::asio_ns::signal_set Signals(State->Context, SIGTERM, SIGINT);
    Signals.async_wait([this](const auto &, int) { State->Context.stop(); });
    Server.open_sync();
    std::printf("listening 127.0.0.1:%u\n", unsigned(State->Port));
    std::fflush(stdout);
    State->Context.run();
    return 0;
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "cannot serve on port %u: %s\n", unsigned(State->Port),
                 Error.what());
    return 1;
  }
}

} // namespace arbutus::tools
