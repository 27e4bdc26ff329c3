#ifndef ARBUTUS_TRAFFIC_TRAFFIC_POOLS_H
#define ARBUTUS_TRAFFIC_TRAFFIC_POOLS_H

#include "balance/local_pool.h"
#include "router/routing_state.h"
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace arbutus::traffic {

/// What a waiting request is told, on its own shard.
struct waiting_callbacks {
  std::function<void(upstream_id)> OnDispatch;
  std::function<void()> OnExpired;
};

/// The local pools of all services, with the requests that wait in them. One
/// shard owns it and is the only user.
class traffic_pools {
public:
  traffic_pools(asio::io_context &Io, std::uint64_t Seed);
  traffic_pools(const traffic_pools &) = delete;
  traffic_pools &operator=(const traffic_pools &) = delete;

  /// Follows the configuration, instances and routers in force.
  void follow(const router::routing_state &State);

  /// Returns an upstream if the request may be sent at once; else one of the
  /// callbacks follows, unless `cancel` returns true.
  [[nodiscard]] std::optional<upstream_id>
  enqueue(std::string_view Service, balance::queued_request Request,
          waiting_callbacks Callbacks);
  bool cancel(std::string_view Service, std::uint64_t RequestId);
  void onFirstByte(std::string_view Service, std::uint64_t RequestId);
  void complete(std::string_view Service, std::uint64_t RequestId,
                balance::call_health Health);
  void onLoad(std::string_view Service, upstream_id Upstream,
              const balance::reported_load &Load);

  /// False if no upstream of the service may take requests at all.
  [[nodiscard]] bool anyUsable(std::string_view Service) const;
  [[nodiscard]] std::size_t waiting() const noexcept { return Waiters.size(); }
  /// Number of a team for fair order, the same while the process runs.
  [[nodiscard]] team_id teamNumber(std::string_view Team);

private:
  [[nodiscard]] balance::local_pool &pool(std::string_view Service);
  void release(balance::local_pool &Pool);
  void armTimer();

  asio::steady_timer Timer;
  std::uint64_t Seed;
  bool TimerArmed = false;
  std::map<std::string, balance::local_pool, std::less<>> Pools;
  std::unordered_map<std::uint64_t, waiting_callbacks> Waiters;
  std::map<std::string, team_id, std::less<>> Teams;
  std::shared_ptr<const store::config_view> View;
  std::shared_ptr<const std::vector<membership::live_node>> Nodes;
};

} // namespace arbutus::traffic

#endif
