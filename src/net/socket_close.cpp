#include "net/socket_close.h"

#include "base/clock.h"
#include "base/log.h"

#include <future>
#include <memory>
#include <thread>

namespace arbutus::net::impl {

void closeSocket(nng_socket Socket) {
  constexpr duration LongestWait = 2s;
  const auto Done = std::make_shared<std::promise<void>>();
  const auto Closed = Done->get_future();
  std::thread([Socket, Done] {
    nng_close(Socket);
    Done->set_value();
  }).detach();
  if (Closed.wait_for(LongestWait) != std::future_status::ready) {
    logEvent(log_level::Warning, "mesh_close_timeout",
             {{"socket", nng_socket_id(Socket)}});
  }
}

} // namespace arbutus::net::impl
