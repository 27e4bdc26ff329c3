#include "store/commands.h"

#include <algorithm>
#include <variant>

namespace arbutus::store {

namespace {

/// The oldest version of the format that has the command.
char versionOf(const command &Command) {
  const auto &Value = Command.Value;
  if (std::holds_alternative<start_rollout_command>(Value) ||
      std::holds_alternative<advance_rollout_command>(Value)) {
    return BatchVersion;
  }
  return std::holds_alternative<quarantine_command>(Value)
             ? QuarantineBatchVersion
             : FirstBatchVersion;
}

} // namespace

std::string encodeBatch(const batch &Batch) {
  char Version = FirstBatchVersion;
  for (const auto &Command : Batch.Commands) {
    Version = std::max(Version, versionOf(Command));
  }
  return Version + encode(Batch);
}

result<batch, codec_error> decodeBatch(std::string_view Bytes) {
  if (Bytes.empty()) {
    return batch{};
  }
  if (Bytes.front() < FirstBatchVersion || Bytes.front() > BatchVersion) {
    return codec_error::Malformed;
  }
  return decode<batch>(Bytes.substr(1));
}

} // namespace arbutus::store
