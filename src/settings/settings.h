#ifndef ARBUTUS_SETTINGS_SETTINGS_H
#define ARBUTUS_SETTINGS_SETTINGS_H

#include "base/ids.h"
#include "base/log.h"
#include "base/result.h"
#include "settings/endpoint.h"
#include "settings/settings_error.h"

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::settings {

/// `[node]`: what this process is and where it stands.
struct node_settings {
  node_id Id{};
  std::string Name;
  bool IsRouter = false;
  bool IsControl = false;
  std::string FailureDomain;
  std::string Region;
  /// Empty unless the process is a voter.
  std::filesystem::path DataDirectory;
};

/// `[listen]`: where the process accepts connections.
struct listen_settings {
  endpoint Http;
  endpoint Mesh;
  /// Where other processes reach the mesh listener, if something forwards to
  /// it; else empty.
  endpoint MeshAdvertised;
  /// I/O shards, 1 to 64.
  int Threads = 1;
};

/// One entry of `[fleet] control`.
struct voter_settings {
  node_id Id{};
  endpoint Mesh;
};

/// `[fleet]`: what all processes of the fleet share.
struct fleet_settings {
  std::filesystem::path KeyFile;
  /// Content of the key file without trailing line ends; at least 16 bytes.
  /// Empty without a key file: then any process that reaches the mesh is
  /// trusted.
  std::string Key;
  /// Lower-case hexadecimal SHA-256 of each operator key.
  std::vector<std::string> OperatorKeyHashes;
  /// The voters, in the order of the file. With `seeds` in place of `control`
  /// their numbers come from their addresses.
  std::vector<voter_settings> InitialVoters;
  /// Mesh port of all VMs where nodes are numbered by address, else 0.
  std::uint16_t CommonMeshPort = 0;
  /// True at the first start of the whole fleet: a voter then creates its data
  /// directory by itself.
  bool Bootstrap = false;
};

/// `[gateway]`: listeners for traffic that is routed by host and path, each
/// for one kind of caller. Empty endpoints are not served.
struct gateway_settings {
  endpoint RequestListener;
  endpoint HealthListener;
  endpoint OperatorListener;
  endpoint AddressListener;
  /// How long callers may keep an address answer.
  std::chrono::milliseconds AddressTtl{2000};
  /// Retries at one service that all routers together may make at once, beside
  /// those that first calls earn.
  double RetrySlack = 60;

  [[nodiscard]] bool enabled() const noexcept {
    return !RequestListener.empty();
  }
};

/// `[discovery]`: where the list of upstream instances is read.
struct discovery_settings {
  endpoint Server;
  /// Time between two reads of the whole list.
  std::chrono::milliseconds PollInterval{400};

  [[nodiscard]] bool enabled() const noexcept { return !Server.empty(); }
};

/// One `[[peer]]` table: another process that this one dials.
struct peer_settings {
  node_id Id{};
  endpoint Mesh;
  endpoint Http;
};

/// `[log]`
struct log_settings {
  /// Empty for standard output.
  std::filesystem::path Path;
  log_level Level = log_level::Info;
};

/// `[limits]`
struct limit_settings {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 1048576;
  std::chrono::seconds DrainTimeout{30};
  /// Descriptors that the process may open, or 0 for no limit of its own.
  std::size_t MaxOpenFiles = 0;
  /// Time from the request to stop until the process is killed, or 0 if it is
  /// not. A shutdown ends before it.
  std::chrono::seconds TerminationGracePeriod{0};
};

/// `[testing]`
struct testing_settings {
  bool AllowFaultInjection = false;
};

/// All settings of one process, checked.
struct settings {
  /// The file that the settings were read from.
  std::filesystem::path File;
  node_settings Node;
  listen_settings Listen;
  fleet_settings Fleet;
  std::vector<peer_settings> Peers;
  gateway_settings Gateway;
  discovery_settings Discovery;
  log_settings Log;
  limit_settings Limits;
  testing_settings Testing;
};

/// Mesh address of a node that is known by its number alone, or an empty
/// endpoint where numbers do not come from addresses.
[[nodiscard]] endpoint deriveMeshEndpoint(const fleet_settings &Fleet,
                                          node_id Node);

/// Reads and checks a settings file together with its key file. On failure the
/// result holds every fault of the file, in the order of lines.
[[nodiscard]] result<settings, settings_errors>
readSettings(const std::filesystem::path &File);

/// Checks settings text as if it were the content of `File`.
[[nodiscard]] result<settings, settings_errors>
parseSettings(std::string_view Text, const std::filesystem::path &File);

} // namespace arbutus::settings

#endif
