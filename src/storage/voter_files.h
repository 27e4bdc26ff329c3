#ifndef ARBUTUS_STORAGE_VOTER_FILES_H
#define ARBUTUS_STORAGE_VOTER_FILES_H

#include "consensus/log_entry.h"
#include "storage/file_io.h"

#include <cstdint>
#include <optional>
#include <string>

namespace arbutus::storage::impl {

/// Names of files and directories in a data directory.
inline constexpr const char *IdentityName = "identity";
inline constexpr const char *HardStateName = "hard_state";
inline constexpr const char *LockName = "lock";
inline constexpr const char *LogName = "log";
inline constexpr const char *SnapshotName = "snapshot";

/// Reads the identity file; nothing if there is none.
[[nodiscard]] storage_result<std::optional<consensus::member>>
readIdentity(const file_operations &Files, const std::string &Directory);

[[nodiscard]] storage_result<void>
writeIdentity(const file_operations &Files, const std::string &Directory,
              const consensus::member &Identity);

/// Reads the hard state; nothing if there is no such file.
[[nodiscard]] storage_result<std::optional<consensus::hard_state>>
readHardState(const file_operations &Files, const std::string &Directory);

[[nodiscard]] storage_result<void>
writeHardState(const file_operations &Files, const std::string &Directory,
               const consensus::hard_state &Hard);

/// Reads the newest snapshot, if any, and removes older and unfinished ones.
[[nodiscard]] storage_result<std::optional<consensus::snapshot>>
readSnapshot(const file_operations &Files, const std::string &Directory);

/// Saves a snapshot durably, then removes the older ones.
[[nodiscard]] storage_result<void>
writeSnapshot(const file_operations &Files, const std::string &Directory,
              const consensus::snapshot &Snapshot);

} // namespace arbutus::storage::impl

#endif
