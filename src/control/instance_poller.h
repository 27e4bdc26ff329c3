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

/// Reads the site's list of upstream instances while this node leads. One node
/// reads for the whole fleet, because the list bears few calls; the others
/// learn of changes from the replicated store. Control thread only.
class instance_poller {
public:
  using leading_function = std::function<bool()>;
  using found_function =
      std::function<void(std::vector<store::named_instance>)>;

  instance_poller(asio::io_context &Io,
                  const settings::discovery_settings &Settings,
                  const traffic::platform_adapter &Adapter,
                  leading_function Leading, found_function OnFound);
  instance_poller(const instance_poller &) = delete;
  instance_poller &operator=(const instance_poller &) = delete;

  void start() { armTimer(); }

private:
  void armTimer();
  void readPage(const std::optional<std::string> &Token);
  void onPage(int Status, const std::string &Body);
  void endRound(std::string_view Failure);

  net::http_client Client;
  asio::steady_timer Timer;
  const settings::discovery_settings &Settings;
  const traffic::platform_adapter &Adapter;
  leading_function Leading;
  found_function OnFound;
  std::vector<store::named_instance> Found;
  /// Whether the last round failed, so that only changes are logged.
  bool Failing = false;
  std::size_t Unreadable = 0;
};

} // namespace arbutus::control

#endif
