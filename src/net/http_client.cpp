#include "net/http_client.h"

#include "base/log.h"
#include "net/client_connection.h"
#include <asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <vector>

namespace arbutus::net {

namespace {

using impl::call_end;
using impl::client_connection;
using connection_ptr = std::shared_ptr<client_connection>;

/// Idle connections kept for one server, and for all of them. A burst opens
/// many, and each holds a descriptor that callers' connections need.
constexpr std::size_t MostIdlePerServer = 16;
constexpr std::size_t MostIdle = 400;

/// `authority` of `http://authority/target`.
std::string authorityOf(std::string_view Url) {
  static constexpr std::string_view Scheme = "http://";
  if (Url.substr(0, Scheme.size()) == Scheme) {
    Url.remove_prefix(Scheme.size());
  }
  return std::string(Url.substr(0, Url.find('/')));
}

/// Reads `IPv4:port` or `[IPv6]:port`.
std::optional<asio::ip::tcp::endpoint> endpointOf(std::string_view Authority) {
  const auto Colon = Authority.rfind(':');
  if (Colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string Ip(Authority.substr(0, Colon));
  if (Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']') {
    Ip = Ip.substr(1, Ip.size() - 2);
  }
  std::uint16_t Port = 0;
  const char *First = Authority.data() + Colon + 1;
  const char *Last = Authority.data() + Authority.size();
  asio::error_code Error;
  const auto Address = asio::ip::make_address(Ip, Error);
  if (Error || std::from_chars(First, Last, Port).ec != std::errc()) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(Address, Port);
}

} // namespace

struct http_client::state : std::enable_shared_from_this<http_client::state> {
  explicit state(asio::io_context &Io) : Io(Io) {}

  asio::io_context &Io;
  std::uint64_t LastId = 0;
  std::unordered_map<call_id, connection_ptr> Running;
  /// Calls that the event loop has not started yet.
  std::unordered_map<call_id, http_call> Waiting;
  std::unordered_map<std::string, std::vector<connection_ptr>> Idle;
  std::size_t IdleCount = 0;
  bool Closed = false;

  void begin(call_id Id);
  void cancel(call_id Id, call_outcome Outcome);
  void keep(const std::string &Authority, const connection_ptr &Connection,
            instant Until);
  connection_ptr takeIdle(const std::string &Authority);
  void close();
};

connection_ptr http_client::state::takeIdle(const std::string &Authority) {
  const auto It = Idle.find(Authority);
  if (It == Idle.end()) {
    return nullptr;
  }
  auto &List = It->second;
  while (!List.empty()) {
    // The newest is the least likely to be closed by the server meanwhile.
    auto Connection = std::move(List.back());
    List.pop_back();
    --IdleCount;
    if (Connection->idleUntil() > monotonic_clock::now()) {
      return Connection;
    }
    Connection->close();
  }
  return nullptr;
}

void http_client::state::keep(const std::string &Authority,
                              const connection_ptr &Connection, instant Until) {
  auto &List = Idle[Authority];
  if (List.size() >= MostIdlePerServer || IdleCount >= MostIdle) {
    Connection->close();
    return;
  }
  List.push_back(Connection);
  ++IdleCount;
  Connection->waitIdle(
      Until, [Self = weak_from_this(), Authority, Raw = Connection.get()] {
        if (const auto This = Self.lock()) {
          auto &Kept = This->Idle[Authority];
          This->IdleCount -= std::erase_if(
              Kept, [Raw](const auto &One) { return One.get() == Raw; });
        }
      });
}

void http_client::state::begin(call_id Id) {
  const auto It = Waiting.find(Id);
  if (Closed || It == Waiting.end()) {
    return;
  }
  http_call Call = std::move(It->second);
  Waiting.erase(It);
  const std::string Authority = authorityOf(Call.Url);
  const auto Server = endpointOf(Authority);
  if (!Server) {
    logEvent(log_level::Warning, "bad_server_address", {{"url", Call.Url}});
    if (Call.OnDone) {
      Call.OnDone(call_outcome::NothingSent);
    }
    return;
  }
  auto Connection = Call.FreshConnection ? nullptr : takeIdle(Authority);
  if (!Connection) {
    Connection = std::make_shared<client_connection>(Io, *Server);
  }
  Running.emplace(Id, Connection);
  auto OnDone = std::move(Call.OnDone);
  Connection->start(std::move(Call),
                    [Self = weak_from_this(), Id, Authority,
                     OnDone = std::move(OnDone)](const call_end &End) {
                      const auto This = Self.lock();
                      if (!This || This->Closed) {
                        return;
                      }
                      const auto Found = This->Running.find(Id);
                      const auto Ended = std::move(Found->second);
                      This->Running.erase(Found);
                      if (End.ReusableUntil) {
                        This->keep(Authority, Ended, *End.ReusableUntil);
                      }
                      if (OnDone) {
                        OnDone(End.Outcome);
                      }
                    });
}

void http_client::state::cancel(call_id Id, call_outcome Outcome) {
  if (const auto It = Waiting.find(Id); It != Waiting.end()) {
    const auto OnDone = std::move(It->second.OnDone);
    Waiting.erase(It);
    if (OnDone) {
      OnDone(call_outcome::Cancelled);
    }
    return;
  }
  if (const auto It = Running.find(Id); It != Running.end()) {
    It->second->abandon(Outcome);
  }
}

void http_client::state::close() {
  Closed = true;
  for (const auto &[Id, Connection] : Running) {
    Connection->close();
  }
  for (const auto &[Authority, List] : Idle) {
    for (const auto &Connection : List) {
      Connection->close();
    }
  }
  Running.clear();
  Idle.clear();
  Waiting.clear();
}

http_client::http_client(asio::io_context &Io)
    : State(std::make_shared<state>(Io)) {}

http_client::~http_client() { State->close(); }

call_id http_client::start(http_call Call) {
  const call_id Id{++State->LastId};
  State->Waiting.emplace(Id, std::move(Call));
  asio::post(State->Io, [Self = State->weak_from_this(), Id] {
    if (const auto This = Self.lock()) {
      This->begin(Id);
    }
  });
  return Id;
}

void http_client::cancel(call_id Id, call_outcome Outcome) {
  asio::post(State->Io, [Self = State->weak_from_this(), Id, Outcome] {
    const auto This = Self.lock();
    if (This && !This->Closed) {
      This->cancel(Id, Outcome);
    }
  });
}

} // namespace arbutus::net
