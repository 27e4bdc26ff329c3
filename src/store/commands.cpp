#include "store/commands.h"

namespace arbutus::store {

namespace {

/// Versions of the format of a log entry that this program reads; it writes
/// the last one.
constexpr char BatchVersion = 1;

} // namespace

std::string encodeBatch(const batch &Batch) {
  return BatchVersion + encode(Batch);
}

result<batch, codec_error> decodeBatch(std::string_view Bytes) {
  if (Bytes.empty()) {
    return batch{};
  }
  if (Bytes.front() != BatchVersion) {
    return codec_error::Malformed;
  }
  return decode<batch>(Bytes.substr(1));
}

} // namespace arbutus::store
