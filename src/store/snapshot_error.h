#ifndef ARBUTUS_STORE_SNAPSHOT_ERROR_H
#define ARBUTUS_STORE_SNAPSHOT_ERROR_H

#include "base/name_table.h"

#include <string>

namespace arbutus::store {

enum class snapshot_error_code : int {
  /// Shorter than its header, or other than a snapshot.
  NotASnapshot,
  UnsupportedVersion,
  /// The checksum does not fit the content.
  ChecksumMismatch,
  /// The checksum fits, but the content cannot be decoded.
  Malformed,
  /// The content contradicts itself, for example two objects of one name.
  Inconsistent,
};

struct snapshot_error {
  snapshot_error_code Code = snapshot_error_code::NotASnapshot;
  std::string Message;
};

} // namespace arbutus::store

namespace arbutus {

template <> struct name_table<store::snapshot_error_code> {
  using code = store::snapshot_error_code;
  static constexpr name_row<code> Rows[] = {
      {code::NotASnapshot, "not_a_snapshot"},
      {code::UnsupportedVersion, "unsupported_version"},
      {code::ChecksumMismatch, "checksum_mismatch"},
      {code::Malformed, "malformed"},
      {code::Inconsistent, "inconsistent"},
  };
};

} // namespace arbutus

#endif
