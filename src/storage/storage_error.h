#ifndef ARBUTUS_STORAGE_STORAGE_ERROR_H
#define ARBUTUS_STORAGE_STORAGE_ERROR_H

#include "base/name_table.h"
#include "base/result.h"

#include <string>

namespace arbutus::storage {

enum class storage_errc {
  Io,                 ///< a file call failed for another reason
  DiskFull,           ///< no space left for the write
  SyncFailed,         ///< writes since the last sync may be lost
  Locked,             ///< another process uses the data directory
  Corrupt,            ///< synced bytes are missing or damaged
  WrongNode,          ///< the data directory belongs to another node
  AlreadyInitialized, ///< bootstrap of a data directory that has an identity
  IdentityMissing,    ///< a log or hard state without an identity file
  Stopped,            ///< an earlier write or sync failed; reopen the log
  InvalidArgument,    ///< the writes do not continue the log, or bad options
};

/// A storage failure: what failed, on which file and with which `errno`, or
/// zero if no system call failed.
struct storage_error {
  storage_errc Code = storage_errc::Io;
  std::string File;
  std::string Detail;
  int Errno = 0;
};

template <class T> using storage_result = result<T, storage_error>;

} // namespace arbutus::storage

template <> struct arbutus::name_table<arbutus::storage::storage_errc> {
  using errc = arbutus::storage::storage_errc;
  static constexpr name_row<errc> Rows[] = {
      {errc::Io, "io"},
      {errc::DiskFull, "disk_full"},
      {errc::SyncFailed, "sync_failed"},
      {errc::Locked, "locked"},
      {errc::Corrupt, "corrupt"},
      {errc::WrongNode, "wrong_node"},
      {errc::AlreadyInitialized, "already_started"},
      {errc::IdentityMissing, "identity_missing"},
      {errc::Stopped, "stopped"},
      {errc::InvalidArgument, "invalid_argument"},
  };
};

#endif
