#ifndef ARBUTUS_CONTROL_GATEWAY_H
#define ARBUTUS_CONTROL_GATEWAY_H

#include "net/http_server.h"
#include "router/http_dispatch.h"
#include "router/router_context.h"
#include "settings/settings.h"
#include "traffic/platform_adapter.h"
#include "traffic/traffic_shard.h"

#include <memory>
#include <vector>

namespace arbutus::control {

/// The listeners of one I/O thread for a site's callers, health checks,
/// operators and questions for addresses.
class gateway {
public:
  /// Opens the listeners. Throws std::exception when a port cannot be opened.
  gateway(const settings::settings &Settings,
          const traffic::platform_adapter &Adapter,
          router::router_context &Context,
          const router::http_dispatch_hooks &Hooks, router::shard &Shard,
          traffic::slot_allocator::send_function Send);
  gateway(const gateway &) = delete;
  gateway &operator=(const gateway &) = delete;

  /// Takes a message about slots, on any thread.
  void postMessage(node_id From, net::message_kind Kind, std::string Payload);
  /// Stops taking connections for requests; open ones go on.
  void stopAccepting();
  /// Ends the requests that still run.
  void abortAll();

private:
  using exchange_ptr = std::shared_ptr<net::http_exchange>;

  void listen(const settings::endpoint &At, duration ShedAbove,
              net::http_handler Handler);
  void answerHealth(const exchange_ptr &Exchange);
  void answerAddresses(const exchange_ptr &Exchange);
  void takeOrder(const exchange_ptr &Exchange);

  const settings::settings &Settings;
  const traffic::platform_adapter &Adapter;
  router::router_context &Context;
  const router::http_dispatch_hooks &Hooks;
  router::shard &Shard;
  traffic::traffic_shard Traffic;
  std::vector<std::unique_ptr<net::http_server>> Servers;
};

} // namespace arbutus::control

#endif
