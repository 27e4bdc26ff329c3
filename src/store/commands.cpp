#include "store/commands.h"

#include <algorithm>
#include <variant>

namespace arbutus::store {

std::string encodeBatch(const batch &Batch) {
  const bool HasNewCommand = std::any_of(
      Batch.Commands.begin(), Batch.Commands.end(), [](const auto &Command) {
        return std::holds_alternative<quarantine_command>(Command.Value);
      });
  const char Version = HasNewCommand ? BatchVersion : FirstBatchVersion;
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
