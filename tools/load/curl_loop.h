#ifndef ARBUTUS_TOOLS_LOAD_CURL_LOOP_H
#define ARBUTUS_TOOLS_LOAD_CURL_LOOP_H

#include "base/clock.h"
#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutus::tools {

/// One HTTP call. The callbacks run on the loop's thread.
struct http_call {
  std::string Url;
  bool Post = false;
  std::string Body;
  std::vector<std::string> Headers;
  int TimeoutMs = 0;

  /// Header lines of the answer, without the line end.
  std::function<void(std::string_view)> OnHeader;
  /// Body bytes of the answer with its status.
  std::function<void(std::string_view, int)> OnBody;
  /// End of the call: status, or 0 without an answer, and the result of curl.
  std::function<void(int, CURLcode)> OnDone;
};

/// Event loop of one thread over curl's multi interface and timers.
class curl_loop {
public:
  curl_loop();
  curl_loop(const curl_loop &) = delete;
  curl_loop &operator=(const curl_loop &) = delete;
  ~curl_loop();

  void start(std::unique_ptr<http_call> Call);

  /// Calls `Callback` at `Time` or as soon after it as possible.
  void callAt(instant Time, std::function<void()> Callback);

  /// Runs until `Finished` returns true; it is asked after every event.
  void run(const std::function<bool()> &Finished);

  [[nodiscard]] std::size_t inFlight() const noexcept { return Active.size(); }

private:
  struct transfer {
    std::unique_ptr<http_call> Call;
    curl_slist *Headers = nullptr;
    std::size_t BodyOffset = 0;
  };
  struct timer {
    instant At;
    std::uint64_t Number;
    std::function<void()> Callback;
    bool operator>(const timer &Other) const noexcept {
      return At != Other.At ? At > Other.At : Number > Other.Number;
    }
  };

  static int onSocket(CURL *Easy, curl_socket_t Socket, int What, void *Loop,
                      void *Known);
  static int onTimer(CURLM *Multi, long Millis, void *Loop);
  static std::size_t onHeader(char *Bytes, std::size_t Size, std::size_t Count,
                              void *Transfer);
  static std::size_t onBody(char *Bytes, std::size_t Size, std::size_t Count,
                            void *Easy);
  static std::size_t onRead(char *Bytes, std::size_t Size, std::size_t Count,
                            void *Transfer);
  static int onSeek(void *Transfer, curl_off_t Offset, int Origin);

  void finishCalls();
  void runTimers();
  [[nodiscard]] int waitMillis() const;

  CURLM *Multi;
  int Epoll;
  instant CurlTimer = instant::max();
  std::uint64_t LastTimer = 0;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> Timers;
  std::unordered_map<CURL *, transfer> Active;
  std::vector<CURL *> Idle;
};

} // namespace arbutus::tools

#endif
