#include "control/voter_log.h"

#include "consensus/consensus.h"
#include "control/memory_limits.h"
#include "control/voter.h"

#include <algorithm>
#include <random>
#include <vector>

namespace arbutus::control {

namespace {

storage::durable_log_options openOptions(const settings::settings &Settings) {
  storage::durable_log_options Options;
  Options.Directory = Settings.Node.DataDirectory.string();
  Options.Node = Settings.Node.Id;
  Options.SegmentBytes = voterLimits(Settings.Limits).SegmentBytes;
  std::random_device Random;
  // The lowest bit is set, so that a random id never equals the id of a
  // directory that was created at bootstrap.
  Options.NewDirectoryId = consensus::data_directory_id{
      (static_cast<std::uint64_t>(Random()) << 32U) | Random() | 1U};
  return Options;
}

} // namespace

storage::storage_result<void>
initializeVoterDirectory(const settings::settings &Settings) {
  std::vector<node_id> Nodes;
  for (const auto &Voter : Settings.Fleet.InitialVoters) {
    Nodes.push_back(Voter.Id);
  }
  auto Options = openOptions(Settings);
  Options.Bootstrap = true;
  Options.InitialVoters = consensus::bootstrapVoters(Nodes);
  const auto Opened = storage::durable_log::open(Options);
  if (Opened.has_error()) {
    return Opened.error();
  }
  return outcome::success();
}

namespace {

/// Creates the data directory if the settings bootstrap the fleet and name this
/// node as an initial voter.
storage::storage_result<void>
bootstrapIfInitialVoter(const settings::settings &Settings) {
  const auto &Voters = Settings.Fleet.InitialVoters;
  const bool IsInitialVoter =
      std::any_of(Voters.begin(), Voters.end(), [&](const auto &Voter) {
        return Voter.Id == Settings.Node.Id;
      });
  if (!Settings.Fleet.Bootstrap || !IsInitialVoter) {
    return outcome::success();
  }
  auto Created = initializeVoterDirectory(Settings);
  if (Created.has_error() &&
      Created.error().Code == storage::storage_errc::AlreadyInitialized) {
    return outcome::success();
  }
  return Created;
}

} // namespace

storage::storage_result<storage::open_result>
openVoterLog(const settings::settings &Settings,
             const storage::file_operations &Files) {
  BOOST_OUTCOME_TRY(bootstrapIfInitialVoter(Settings));
  return storage::durable_log::open(openOptions(Settings), Files);
}

} // namespace arbutus::control
