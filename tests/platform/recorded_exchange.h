#ifndef ARBUTUS_TESTS_PLATFORM_RECORDED_EXCHANGE_H
#define ARBUTUS_TESTS_PLATFORM_RECORDED_EXCHANGE_H

#include "net/http_exchange.h"

#include <functional>
#include <string>
#include <utility>

namespace arbutus::platform::testing {

/// The request of a caller that records what it is answered.
class recorded_exchange : public net::http_exchange {
public:
  explicit recorded_exchange(net::http_request Request)
      : Request(std::move(Request)) {}

  [[nodiscard]] const net::http_request &request() const noexcept override {
    return Request;
  }
  [[nodiscard]] std::string takeBody() override {
    return std::exchange(Request.Body, {});
  }
  void respond(net::http_response Response) override {
    Status = Response.Status;
    Headers = std::move(Response.Headers);
    Body = std::move(Response.Body);
    Ended = true;
  }
  void beginStream(int NewStatus,
                   const net::http_headers &NewHeaders) override {
    Status = NewStatus;
    Headers = NewHeaders;
  }
  void writeChunk(std::string Chunk) override { Body += Chunk; }
  [[nodiscard]] std::size_t unsentBytes() const noexcept override { return 0; }
  void endStream() override { Ended = true; }
  void abort() override { Aborted = Ended = true; }
  [[nodiscard]] bool answered() const noexcept override { return Status != 0; }
  void onDisconnect(std::function<void()> /*Callback*/) override {}

  int Status = 0;
  net::http_headers Headers;
  std::string Body;
  /// The answer has ended, completely unless `Aborted`.
  bool Ended = false;
  bool Aborted = false;

private:
  net::http_request Request;
};

} // namespace arbutus::platform::testing

#endif
