#ifndef ARBUTUS_CONTROL_INSTANCE_POLLER_H
#define ARBUTUS_CONTROL_INSTANCE_POLLER_H

#include "net/http_client.h"
#include "settings/settings.h"
#include "traffic/platform_adapter.h"
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::control {

/// Polls the platform's list of upstream instances while this node leads. Only
/// the leader polls, because the list server handles few requests; the other
/// nodes get changes from the replicated store. Control thread only.
class instance_poller {
public:
  using is_leader_function = std::function<bool()>;
  using instances_function =
      std::function<void(std::vector<store::named_instance>)>;

  instance_poller(asio::io_context &Io,
                  const settings::discovery_settings &Settings,
                  const traffic::platform_adapter &Adapter,
                  is_leader_function IsLeader, instances_function OnInstances);
  instance_poller(const instance_poller &) = delete;
  instance_poller &operator=(const instance_poller &) = delete;

  void start() { armTimer(); }

private:
  void armTimer();
  void readPage(const std::optional<std::string> &PageToken);
  void onPage(int Status, const std::string &Body);
  void finishPoll(std::string_view Failure);

  net::http_client Client;
  asio::steady_timer Timer;
  const settings::discovery_settings &Settings;
  const traffic::platform_adapter &Adapter;
  is_leader_function IsLeader;
  instances_function OnInstances;
  std::vector<store::named_instance> Instances;
  /// Limits the log to changes between success and failure.
  bool LastPollFailed = false;
  std::size_t MalformedEntries = 0;
};

} // namespace arbutus::control

#endif
