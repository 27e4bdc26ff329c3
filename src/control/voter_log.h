#ifndef ARBUTUS_CONTROL_VOTER_LOG_H
#define ARBUTUS_CONTROL_VOTER_LOG_H

#include "settings/settings.h"
#include "storage/storage.h"

namespace arbutus::control {

/// Opens the data directory of a voter. If the settings bootstrap the fleet
/// and name this node as an initial voter, a missing directory is created.
[[nodiscard]] storage::storage_result<storage::open_result> openVoterLog(
    const settings::settings &Settings,
    const storage::file_operations &Files = storage::posixFileOperations());

} // namespace arbutus::control

#endif
