#include "curl_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>

namespace arbutus::tools {

namespace {

constexpr int MostEvents = 256;
/// Idle connections that curl keeps open per thread.
constexpr long MostIdleConnections = 4096;

} // namespace

curl_loop::curl_loop()
    : Multi(curl_multi_init()), Epoll(epoll_create1(EPOLL_CLOEXEC)) {
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, &curl_loop::onSocket);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, &curl_loop::onTimer);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MostIdleConnections);
}

curl_loop::~curl_loop() {
  for (auto &[Easy, Transfer] : Active) {
    curl_multi_remove_handle(Multi, Easy);
    curl_easy_cleanup(Easy);
    curl_slist_free_all(Transfer.Headers);
  }
  for (auto *Easy : Idle) {
    curl_easy_cleanup(Easy);
  }
  curl_multi_cleanup(Multi);
  close(Epoll);
}

void curl_loop::start(std::unique_ptr<http_call> Call) {
  CURL *Easy = nullptr;
  if (Idle.empty()) {
    Easy = curl_easy_init();
  } else {
    Easy = Idle.back();
    Idle.pop_back();
    curl_easy_reset(Easy);
  }
  auto &Transfer = Active[Easy];
  Transfer.Call = std::move(Call);
  Transfer.BodyOffset = 0;
  const auto &Target = *Transfer.Call;
  for (const auto &Header : Target.Headers) {
    Transfer.Headers = curl_slist_append(Transfer.Headers, Header.c_str());
  }
  curl_easy_setopt(Easy, CURLOPT_URL, Target.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Transfer.Headers);
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, long(Target.TimeoutMs));
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &curl_loop::onHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Transfer);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &curl_loop::onBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, Easy);
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Transfer);
  if (Target.Post) {
    // curl sends a request again by itself when a reused connection closes
    // before the answer. The body comes from a callback that cannot rewind,
    // so that this fails instead and every resend is one of this tool.
    curl_easy_setopt(Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     curl_off_t(Target.Body.size()));
    curl_easy_setopt(Easy, CURLOPT_READFUNCTION, &curl_loop::onRead);
    curl_easy_setopt(Easy, CURLOPT_READDATA, &Transfer);
    curl_easy_setopt(Easy, CURLOPT_SEEKFUNCTION, &curl_loop::onSeek);
    curl_easy_setopt(Easy, CURLOPT_SEEKDATA, &Transfer);
  }
  curl_multi_add_handle(Multi, Easy);
}

void curl_loop::callAt(instant Time, std::function<void()> Callback) {
  Timers.push({Time, ++LastTimer, std::move(Callback)});
}

void curl_loop::run(const std::function<bool()> &Finished) {
  epoll_event Events[MostEvents];
  while (!Finished()) {
    const int Count = epoll_wait(Epoll, Events, MostEvents, waitMillis());
    int Running = 0;
    for (int Index = 0; Index < Count; ++Index) {
      const auto Flags = Events[Index].events;
      const int Mask =
          ((Flags & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
          ((Flags & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
          ((Flags & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
      curl_multi_socket_action(Multi, Events[Index].data.fd, Mask, &Running);
    }
    if (monotonic_clock::now() >= CurlTimer) {
      CurlTimer = instant::max();
      curl_multi_socket_action(Multi, CURL_SOCKET_TIMEOUT, 0, &Running);
    }
    finishCalls();
    runTimers();
  }
}

int curl_loop::onSocket(CURL * /*Easy*/, curl_socket_t Socket, int What,
                        void *Loop, void * /*Known*/) {
  const int Epoll = static_cast<curl_loop *>(Loop)->Epoll;
  epoll_event Event{};
  Event.data.fd = Socket;
  if (What == CURL_POLL_REMOVE) {
    epoll_ctl(Epoll, EPOLL_CTL_DEL, Socket, &Event);
    return 0;
  }
  if (What != CURL_POLL_OUT) {
    Event.events |= EPOLLIN;
  }
  if (What != CURL_POLL_IN) {
    Event.events |= EPOLLOUT;
  }
  if (epoll_ctl(Epoll, EPOLL_CTL_MOD, Socket, &Event) != 0) {
    epoll_ctl(Epoll, EPOLL_CTL_ADD, Socket, &Event);
  }
  return 0;
}

int curl_loop::onTimer(CURLM * /*Multi*/, long Millis, void *Loop) {
  static_cast<curl_loop *>(Loop)->CurlTimer =
      Millis < 0 ? instant::max()
                 : monotonic_clock::now() + std::chrono::milliseconds(Millis);
  return 0;
}

std::size_t curl_loop::onHeader(char *Bytes, std::size_t Size,
                                std::size_t Count, void *Transfer) {
  std::string_view Line(Bytes, Size * Count);
  while (!Line.empty() && (Line.back() == '\n' || Line.back() == '\r')) {
    Line.remove_suffix(1);
  }
  static_cast<transfer *>(Transfer)->Call->OnHeader(Line);
  return Size * Count;
}

std::size_t curl_loop::onBody(char *Bytes, std::size_t Size, std::size_t Count,
                              void *Easy) {
  long Status = 0;
  transfer *Transfer = nullptr;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  curl_easy_getinfo(Easy, CURLINFO_PRIVATE, &Transfer);
  Transfer->Call->OnBody({Bytes, Size * Count}, static_cast<int>(Status));
  return Size * Count;
}

std::size_t curl_loop::onRead(char *Bytes, std::size_t Size, std::size_t Count,
                              void *Transfer) {
  auto &Target = *static_cast<transfer *>(Transfer);
  const auto &Body = Target.Call->Body;
  const auto Length = std::min(Size * Count, Body.size() - Target.BodyOffset);
  Body.copy(Bytes, Length, Target.BodyOffset);
  Target.BodyOffset += Length;
  return Length;
}

int curl_loop::onSeek(void * /*Transfer*/, curl_off_t /*Offset*/,
                      int /*Origin*/) {
  return CURL_SEEKFUNC_FAIL;
}

void curl_loop::finishCalls() {
  int Left = 0;
  while (const CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE) {
      continue;
    }
    CURL *Easy = Message->easy_handle;
    const CURLcode Result = Message->data.result;
    long Status = 0;
    curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
    curl_multi_remove_handle(Multi, Easy);
    const auto Found = Active.find(Easy);
    auto Call = std::move(Found->second.Call);
    curl_slist_free_all(Found->second.Headers);
    Active.erase(Found);
    Idle.push_back(Easy);
    Call->OnDone(static_cast<int>(Status), Result);
  }
}

void curl_loop::runTimers() {
  while (!Timers.empty() && Timers.top().At <= monotonic_clock::now()) {
    auto Callback = Timers.top().Callback;
    Timers.pop();
    Callback();
  }
}

int curl_loop::waitMillis() const {
  constexpr duration Longest = 100ms;
  auto Wake = CurlTimer;
  if (!Timers.empty()) {
    Wake = std::min(Wake, Timers.top().At);
  }
  const auto Now = monotonic_clock::now();
  if (Wake <= Now) {
    return 0;
  }
  // Rounded up; a wait of 0 would spin until the timer is due.
  const auto Wait = Wake - Now < Longest ? Wake - Now : Longest;
  return static_cast<int>((toMicros(Wait) + 999) / 1000);
}

} // namespace arbutus::tools
