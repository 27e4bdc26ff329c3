#include "store/commands.h"

namespace arbutus::store {

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
