#include "net/http_client.h"

#include <asio/ip/tcp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <algorithm>
#include <unordered_map>

namespace arbutus::net {

namespace impl {

struct transfer {
  call_id Id{};
  CURL *Easy = nullptr;
  curl_slist *HeaderList = nullptr;
  http_call Call;
  http_headers AnswerHeaders;
  int Status = 0;
  bool HeadersDone = false;
};

/// A socket that libcurl asked to be watched.
struct watched_socket {
  explicit watched_socket(asio::io_context &Io, curl_socket_t Fd)
      : Descriptor(Io, Fd) {}
  asio::posix::stream_descriptor Descriptor;
  bool WantRead = false;
  bool WantWrite = false;
  bool Reading = false;
  bool Writing = false;
  bool Removed = false;
};

} // namespace impl

using impl::transfer;
using impl::watched_socket;

struct http_client::state : std::enable_shared_from_this<http_client::state> {
  explicit state(asio::io_context &Io) : Io(Io), Timer(Io) {}

  asio::io_context &Io;
  asio::steady_timer Timer;
  CURLM *Multi = nullptr;
  std::uint64_t LastId = 0;
  std::unordered_map<call_id, std::unique_ptr<transfer>> Transfers;
  std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> Sockets;
  std::vector<CURL *> IdleHandles;
  bool Closed = false;

  void open();
  void close();
  void act(curl_socket_t Fd, int Events);
  void collectDone();
  void finish(call_id Id, call_outcome Outcome);
  void watch(curl_socket_t Fd, int What);
  void arm(const std::shared_ptr<watched_socket> &Socket, curl_socket_t Fd);
  void setTimer(long Milliseconds);
  void configure(transfer &Transfer);
};

namespace {

/// Idle handles kept for reuse; each costs some kilobytes.
constexpr std::size_t MostIdleHandles = 256;

std::size_t onHeaderLine(char *Data, std::size_t Size, std::size_t Count,
                         void *User) {
  auto &Transfer = *static_cast<transfer *>(User);
  std::string_view Line(Data, Size * Count);
  while (!Line.empty() && (Line.back() == '\r' || Line.back() == '\n')) {
    Line.remove_suffix(1);
  }
  if (Line.substr(0, 5) == "HTTP/") {
    Transfer.AnswerHeaders.clear();
    return Size * Count;
  }
  if (Line.empty()) {
    long Status = 0;
    curl_easy_getinfo(Transfer.Easy, CURLINFO_RESPONSE_CODE, &Status);
    if (Status >= 200 && !Transfer.HeadersDone) {
      Transfer.HeadersDone = true;
      Transfer.Status = static_cast<int>(Status);
      if (Transfer.Call.OnHeaders) {
        Transfer.Call.OnHeaders(Transfer.Status, Transfer.AnswerHeaders);
      }
    }
    return Size * Count;
  }
  const auto Colon = Line.find(':');
  if (Colon != std::string_view::npos) {
    std::string_view Value = Line.substr(Colon + 1);
    while (!Value.empty() && (Value.front() == ' ' || Value.front() == '\t')) {
      Value.remove_prefix(1);
    }
    Transfer.AnswerHeaders.emplace_back(Line.substr(0, Colon), Value);
  }
  return Size * Count;
}

std::size_t onBodyBytes(char *Data, std::size_t Size, std::size_t Count,
                        void *User) {
  const auto &Transfer = *static_cast<transfer *>(User);
  try {
    if (Transfer.Call.OnBody) {
      Transfer.Call.OnBody({Data, Size * Count});
    }
  } catch (const std::exception &) {
    return 0; // libcurl ends the transfer; an exception must not cross it
  }
  return Size * Count;
}

call_outcome outcomeOf(CURL *Easy, CURLcode Code) {
  if (Code == CURLE_OK) {
    return call_outcome::Complete;
  }
  long RequestBytes = 0;
  curl_off_t UploadBytes = 0;
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &RequestBytes);
  curl_easy_getinfo(Easy, CURLINFO_SIZE_UPLOAD_T, &UploadBytes);
  if (RequestBytes == 0 && UploadBytes == 0) {
    return call_outcome::NothingSent;
  }
  if (Code == CURLE_OPERATION_TIMEDOUT) {
    return call_outcome::DeadlinePassed;
  }
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  return Status == 0 ? call_outcome::SentNoAnswer : call_outcome::AnswerBroken;
}

} // namespace

void http_client::state::open() {
  // Thread-safe since libcurl 7.84, and idempotent.
  static const CURLcode Initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)Initialized;
  Multi = curl_multi_init();
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(
      Multi, CURLMOPT_SOCKETFUNCTION,
      +[](CURL *, curl_socket_t Fd, int What, void *User, void *) {
        static_cast<state *>(User)->watch(Fd, What);
        return 0;
      });
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(
      Multi, CURLMOPT_TIMERFUNCTION, +[](CURLM *, long Delay, void *User) {
        static_cast<state *>(User)->setTimer(Delay);
        return 0;
      });
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, 1024L);
}

void http_client::state::close() {
  Closed = true;
  Timer.cancel();
  for (auto &[Id, Transfer] : Transfers) {
    curl_multi_remove_handle(Multi, Transfer->Easy);
    curl_easy_cleanup(Transfer->Easy);
    curl_slist_free_all(Transfer->HeaderList);
  }
  Transfers.clear();
  for (CURL *Easy : IdleHandles) {
    curl_easy_cleanup(Easy);
  }
  IdleHandles.clear();
  curl_multi_cleanup(Multi);
  for (auto &[Fd, Socket] : Sockets) {
    if (!Socket->Removed) {
      Socket->Removed = true;
      Socket->Descriptor.release();
    }
  }
  Sockets.clear();
}

void http_client::state::setTimer(long Milliseconds) {
  if (Closed) {
    return;
  }
  Timer.cancel();
  if (Milliseconds < 0) {
    return;
  }
  Timer.expires_after(std::chrono::milliseconds(Milliseconds));
  Timer.async_wait([Self = weak_from_this()](const asio::error_code &Error) {
    const auto This = Self.lock();
    if (!Error && This && !This->Closed) {
      This->act(CURL_SOCKET_TIMEOUT, 0);
    }
  });
}

void http_client::state::watch(curl_socket_t Fd, int What) {
  const auto It = Sockets.find(Fd);
  if (What == CURL_POLL_REMOVE) {
    if (It != Sockets.end()) {
      It->second->Removed = true;
      // libcurl owns and closes the descriptor.
      It->second->Descriptor.release();
      Sockets.erase(It);
    }
    return;
  }
  auto &Socket = It != Sockets.end()
                     ? It->second
                     : Sockets[Fd] = std::make_shared<watched_socket>(Io, Fd);
  Socket->WantRead = (What & CURL_POLL_IN) != 0;
  Socket->WantWrite = (What & CURL_POLL_OUT) != 0;
  arm(Socket, Fd);
}

void http_client::state::arm(const std::shared_ptr<watched_socket> &Socket,
                             curl_socket_t Fd) {
  using asio::posix::stream_descriptor;
  if (Socket->WantRead && !Socket->Reading) {
    Socket->Reading = true;
    Socket->Descriptor.async_wait(
        stream_descriptor::wait_read,
        [Self = weak_from_this(), Socket, Fd](const asio::error_code &Error) {
          Socket->Reading = false;
          const auto This = Self.lock();
          if (Error || Socket->Removed || !This) {
            return;
          }
          if (Socket->WantRead) {
            This->act(Fd, CURL_CSELECT_IN);
          }
          if (!Socket->Removed) {
            This->arm(Socket, Fd);
          }
        });
  }
  if (Socket->WantWrite && !Socket->Writing) {
    Socket->Writing = true;
    Socket->Descriptor.async_wait(
        stream_descriptor::wait_write,
        [Self = weak_from_this(), Socket, Fd](const asio::error_code &Error) {
          Socket->Writing = false;
          const auto This = Self.lock();
          if (Error || Socket->Removed || !This) {
            return;
          }
          if (Socket->WantWrite) {
            This->act(Fd, CURL_CSELECT_OUT);
          }
          if (!Socket->Removed) {
            This->arm(Socket, Fd);
          }
        });
  }
}

void http_client::state::act(curl_socket_t Fd, int Events) {
  int Running = 0;
  curl_multi_socket_action(Multi, Fd, Events, &Running);
  collectDone();
}

void http_client::state::collectDone() {
  int Left = 0;
  while (const CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE) {
      continue;
    }
    transfer *Transfer = nullptr;
    curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Transfer);
    finish(Transfer->Id, outcomeOf(Message->easy_handle, Message->data.result));
    if (Closed) {
      return;
    }
  }
}

void http_client::state::finish(call_id Id, call_outcome Outcome) {
  const auto It = Transfers.find(Id);
  if (It == Transfers.end()) {
    return;
  }
  const auto Transfer = std::move(It->second);
  Transfers.erase(It);
  curl_multi_remove_handle(Multi, Transfer->Easy);
  curl_slist_free_all(Transfer->HeaderList);
  if (IdleHandles.size() < MostIdleHandles) {
    curl_easy_reset(Transfer->Easy);
    IdleHandles.push_back(Transfer->Easy);
  } else {
    curl_easy_cleanup(Transfer->Easy);
  }
  if (Transfer->Call.OnDone) {
    Transfer->Call.OnDone(Outcome);
  }
}

void http_client::state::configure(transfer &Transfer) {
  CURL *Easy = Transfer.Easy;
  const http_call &Call = Transfer.Call;
  for (const auto &[Name, Value] : Call.Headers) {
    // "Name;" sends a header with an empty value.
    std::string Line = Name;
    Line += Value.empty() ? ";" : ": ";
    Line += Value;
    Transfer.HeaderList = curl_slist_append(Transfer.HeaderList, Line.c_str());
  }
  Transfer.HeaderList = curl_slist_append(Transfer.HeaderList, "Expect:");
  curl_easy_setopt(Easy, CURLOPT_URL, Call.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
  if (Call.Method == "HEAD") {
    curl_easy_setopt(Easy, CURLOPT_NOBODY, 1L);
  } else if (!Call.Body.empty() || Call.Method == "POST" ||
             Call.Method == "PUT" || Call.Method == "PATCH") {
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Call.Body.size()));
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Call.Body.data());
  }
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Transfer.HeaderList);
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Easy, CURLOPT_BUFFERSIZE, 16L * 1024L);
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(toMicros(Call.ConnectTimeout) / 1000));
  curl_easy_setopt(
      Easy, CURLOPT_TIMEOUT_MS,
      std::max(1L, static_cast<long>(toMicros(Call.Timeout) / 1000)));
  if (Call.FreshConnection) {
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, onHeaderLine);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Transfer);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, onBodyBytes);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Transfer);
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Transfer);
}

http_client::http_client(asio::io_context &Io)
    : State(std::make_shared<state>(Io)) {
  State->open();
}

http_client::~http_client() { State->close(); }

call_id http_client::start(http_call Call) {
  auto Transfer = std::make_unique<transfer>();
  Transfer->Id = call_id{++State->LastId};
  Transfer->Call = std::move(Call);
  if (State->IdleHandles.empty()) {
    Transfer->Easy = curl_easy_init();
  } else {
    Transfer->Easy = State->IdleHandles.back();
    State->IdleHandles.pop_back();
  }
  State->configure(*Transfer);
  const call_id Id = Transfer->Id;
  CURL *Easy = Transfer->Easy;
  State->Transfers.emplace(Id, std::move(Transfer));
  // libcurl sets its timer to zero here, so the call starts from the loop.
  if (curl_multi_add_handle(State->Multi, Easy) ==
      CURLM_RECURSIVE_API_CALL) { // called from inside OnHeaders or OnBody
    asio::post(State->Io, [Self = State->weak_from_this(), Id, Easy] {
      const auto This = Self.lock();
      if (This && !This->Closed && This->Transfers.count(Id) != 0) {
        curl_multi_add_handle(This->Multi, Easy);
      }
    });
  }
  return Id;
}

void http_client::cancel(call_id Id) {
  asio::post(State->Io, [Self = State->weak_from_this(), Id] {
    const auto This = Self.lock();
    if (This && !This->Closed) {
      This->finish(Id, call_outcome::Cancelled);
    }
  });
}

} // namespace arbutus::net
