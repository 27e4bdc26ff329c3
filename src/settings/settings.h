#ifndef ARBUTUS_SETTINGS_SETTINGS_H
#define ARBUTUS_SETTINGS_SETTINGS_H

#include "base/ids.h"
#include "base/log.h"
#include "base/result.h"
#include "settings/endpoint.h"
#include "settings/settings_error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::settings {

/// `[node]`: identity, roles and location of this process.
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

/// `[listen]`: addresses on which the process accepts connections.
struct listen_settings {
  endpoint Http;
  endpoint Mesh;
  /// Address at which other processes reach the mesh listener, when it differs
  /// from `Mesh`; else empty.
  endpoint MeshAdvertised;
  /// Number of I/O threads, 1 to 64.
  int Threads = 1;
};

/// One entry of `[fleet] control`.
struct voter_settings {
  node_id Id{};
  endpoint Mesh;
};

/// `[fleet]`: settings that all processes of the fleet share.
struct fleet_settings {
  std::filesystem::path KeyFile;
  /// Content of the key file without trailing line ends; at least 16 bytes.
  /// Empty without a key file; any process that can connect to the mesh is
  /// then trusted.
  std::string Key;
  /// Lower-case hexadecimal SHA-256 of each operator key.
  std::vector<std::string> OperatorKeyHashes;
  /// The initial voters, in the order of the file. With `seeds` instead of
  /// `control` their ids are derived from their addresses.
  std::vector<voter_settings> InitialVoters;
  /// Mesh port of all VMs if node ids are derived from addresses, else 0.
  std::uint16_t SeedMeshPort = 0;
  /// True at the first start of the fleet: an initial voter then creates its
  /// missing data directory.
  bool Bootstrap = false;
};

/// `[gateway]`: listeners for traffic that is routed by host and path, and for
/// health checks, admin requests and address queries. An empty endpoint opens
/// no listener.
struct gateway_settings {
  endpoint RequestListener;
  endpoint HealthListener;
  endpoint OperatorListener;
  endpoint AddressListener;
  /// How long callers may cache an address response.
  std::chrono::milliseconds AddressTtl{2000};
  /// Retries that all routers together may send to one service at once, in
  /// addition to those earned by first attempts.
  double RetrySlack = 60;
  /// Second attempts while the first one runs, in percent of a service's
  /// requests; 0 for none.
  double HedgePercent = 0;

  [[nodiscard]] bool enabled() const noexcept {
    return !RequestListener.empty();
  }
};

/// `[discovery]`: source of the list of upstream instances.
struct discovery_settings {
  endpoint Server;
  /// Time from the end of one poll of the whole list to the next.
  std::chrono::milliseconds PollInterval{400};
  /// Age of the list up to which routers send requests by it. The platform
  /// keeps an upstream that it calls draining alive for longer.
  std::chrono::milliseconds MaxAge{3000};

  [[nodiscard]] bool enabled() const noexcept { return !Server.empty(); }
};

/// `[rollout]`: limits for moving a service to another version.
struct rollout_settings {
  /// Share of a service's requests that a bad version may receive, 0 to 1.
  double MaxExposure = 0.1;
};

/// One `[[peer]]` table: another process to connect to.
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
  /// File descriptors that the process may open; 0 sets no limit.
  std::size_t MaxOpenFiles = 0;
  /// Time from the termination signal until the platform kills the process; 0
  /// if it never does. The process exits before.
  std::chrono::seconds TerminationGracePeriod{0};
  /// Memory of the process and size of the disk under the data directory, in
  /// megabytes; 0 if they are not limited.
  std::uint64_t MemoryMegabytes = 0;
  std::uint64_t DiskMegabytes = 0;
  /// Memory for the bodies of requests; 0 for a share of the memory.
  std::uint64_t BodyMemoryMegabytes = 0;
};

/// `[testing]`
struct testing_settings {
  bool AllowFaultInjection = false;
};

/// All settings of one process, after validation.
struct settings {
  /// The file that the settings were read from.
  std::filesystem::path File;
  node_settings Node;
  listen_settings Listen;
  fleet_settings Fleet;
  std::vector<peer_settings> Peers;
  gateway_settings Gateway;
  discovery_settings Discovery;
  rollout_settings Rollout;
  log_settings Log;
  limit_settings Limits;
  testing_settings Testing;
};

/// Returns the mesh endpoint of a node from its id, or an empty endpoint if ids
/// are not derived from addresses.
[[nodiscard]] endpoint deriveMeshEndpoint(const fleet_settings &Fleet,
                                          node_id Node);

/// Reads and validates a settings file together with its key file. On failure
/// the result holds all errors of the file, ordered by line.
[[nodiscard]] result<settings, settings_errors>
readSettings(const std::filesystem::path &File);

/// Parses and validates `Text` as the content of `File`.
[[nodiscard]] result<settings, settings_errors>
parseSettings(std::string_view Text, const std::filesystem::path &File);

} // namespace arbutus::settings

#endif
