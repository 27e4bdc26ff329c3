#ifndef ARBUTUS_CONTROL_GATEWAY_H
#define ARBUTUS_CONTROL_GATEWAY_H

#include "net/http_server.h"
#include "router/http_dispatch.h"
#include "router/router_context.h"
#include "settings/settings.h"
#include "traffic/platform_adapter.h"
#include "traffic/traffic_shard.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace arbutus::control {

/// Listeners of one I/O thread for requests of callers, health checks, admin
/// requests and queries for router addresses.
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

  /// Hands a slot message to the I/O thread. Thread-safe.
  void postMessage(node_id From, net::message_kind Kind, std::string Payload);
  /// Closes the listener for requests of callers; open connections stay.
  void stopAccepting();
  /// Aborts all requests that have not completed.
  void abortAll();

private:
  using exchange_ptr = std::shared_ptr<net::http_exchange>;

  void listen(const settings::endpoint &Endpoint, duration ShedLagThreshold,
              std::function<std::size_t()> MaxBodyBytes,
              net::http_handler Handler);
  void handleHealthCheck(const exchange_ptr &Exchange);
  void handleAddressQuery(const exchange_ptr &Exchange);
  void handleAdminRequest(const exchange_ptr &Exchange);

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
