#ifndef ARBUTUS_CONTROL_INSTANCE_POLLER_H
#define ARBUTUS_CONTROL_INSTANCE_POLLER_H

#include "control/instance_list.h"
#include "net/http_client.h"
#include "settings/settings.h"
#include "traffic/platform_adapter.h"
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::control {

/// Polls the platform's list of upstream instances while this node leads. Only
/// the leader polls, because the list server handles few requests; the other
/// nodes get changes from the replicated store. A new leader reads it at once,
/// because it grants no leases before. Control thread only.
class instance_poller {
public:
  using is_leader_function = std::function<bool()>;
  using instances_function = std::function<void(instance_list)>;
  /// Called when the server does not answer, or too slowly.
  using unavailable_function = std::function<void()>;

  instance_poller(asio::io_context &Io,
                  const settings::discovery_settings &Settings,
                  const traffic::platform_adapter &Adapter,
                  is_leader_function IsLeader, instances_function OnInstances,
                  unavailable_function OnUnavailable);
  instance_poller(const instance_poller &) = delete;
  instance_poller &operator=(const instance_poller &) = delete;

  void start() { armTimer(); }

private:
  void armTimer();
  void armSlowTimer();
  void startPoll();
  void readPage(const std::optional<std::string> &PageToken);
  void onPage(int Status, const std::string &Body);
  /// Reads the page again after a delay, or ends the poll.
  void onPageFailed(std::string_view Failure);
  void finishPoll(std::string_view Failure);

  net::http_client Client;
  asio::steady_timer Timer;
  /// Runs while a poll is in progress.
  asio::steady_timer SlowTimer;
  const settings::discovery_settings &Settings;
  const traffic::platform_adapter &Adapter;
  is_leader_function IsLeader;
  instances_function OnInstances;
  unavailable_function OnUnavailable;
  instance_list List;
  std::optional<std::string> PageToken;
  int PageAttempts = 0;
  /// Limits the log to changes between success and failure.
  bool LastPollFailed = false;
  std::size_t MalformedEntries = 0;
};

} // namespace arbutus::control

#endif
