#ifndef ARBUTUS_CONTROL_POOL_HOST_H
#define ARBUTUS_CONTROL_POOL_HOST_H

#include "membership/node_session.h"
#include "net/http_client.h"
#include "pool/grantor.h"
#include "store/config_view.h"
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace arbutus::control {

/// Runs the grantors of the pools that are assigned to this node and polls the
/// load of their upstreams. Control thread only.
class pool_host {
public:
  using send_function = std::function<void(node_id To, pool_id Pool,
                                           const pool::pool_grant &Grant)>;

  pool_host(asio::io_context &Io, node_id Self, send_function Send);
  pool_host(const pool_host &) = delete;
  pool_host &operator=(const pool_host &) = delete;

  /// Starts and stops grantors to match the assignments of the configuration
  /// to this incarnation of the node.
  void configure(const std::shared_ptr<const store::config_view> &View,
                 incarnation Incarnation);

  /// Sets the router sessions that may hold slots.
  void setNodes(const std::vector<membership::live_node> &Nodes);

  void onReport(node_id From, incarnation Incarnation, pool_id Pool,
                const pool::pool_report &Report);

  [[nodiscard]] std::size_t hostedPoolCount() const noexcept {
    return Pools.size();
  }

private:
  struct hosted_pool {
    hosted_pool(pool_id Pool, epoch Epoch, instant Now)
        : Grantor(Pool, Epoch, pool::grantor_options{}, Now) {}
    pool::grantor Grantor;
    bool HasRouterSessions = false;
  };

  void configureGrantor(hosted_pool &Pool, const store::service_entry &Service);
  void run();
  void scheduleRun();
  void armTimer();
  void pollLoads();
  void pollLoad(pool_id Pool, upstream_id Upstream, std::string_view Address);
  void onLoad(pool_id Pool, upstream_id Upstream, const std::string &Body,
              instant SentAt);
  void logDecisions(pool_id Pool, const pool::grantor_decisions &Decisions);
  [[nodiscard]] std::string_view upstreamName(pool_id Pool,
                                              upstream_id Upstream) const;

  asio::io_context &Io;
  net::http_client Client;
  asio::steady_timer RunTimer;
  asio::steady_timer PollTimer;
  node_id Self;
  send_function Send;
  std::shared_ptr<const store::config_view> View;
  std::vector<pool::session_info> RouterSessions;
  std::map<pool_id, std::unique_ptr<hosted_pool>> Pools;
  bool RunScheduled = false;
};

} // namespace arbutus::control

#endif
