#include "storage/voter_files.h"

#include "storage/segment_log.h"

#include <algorithm>
#include <memory>
#include <string_view>
#include <utility>

namespace arbutus::storage::impl {
namespace {

struct stored_hard_state {
  std::uint64_t Term = 0;
  bool HasVoted = false;
  std::uint32_t VotedFor = 0;
  MSGPACK_DEFINE(Term, HasVoted, VotedFor)
};

storage_error malformed(const std::string &Path) {
  return {storage_errc::Corrupt, Path, "malformed content", 0};
}

storage_result<bool> exists(const file_operations &Files,
                            const std::string &Directory,
                            const std::string &Name) {
  BOOST_OUTCOME_TRY(Names, listDirectory(Files, Directory));
  return std::binary_search(Names.begin(), Names.end(), Name);
}

/// Reads a file with a checksum and one encoded value, or returns nothing if
/// there is no such file.
template <class T>
storage_result<std::optional<T>> readValue(const file_operations &Files,
                                           const std::string &Directory,
                                           const std::string &Name) {
  BOOST_OUTCOME_TRY(Exists, exists(Files, Directory, Name));
  if (!Exists) {
    return std::optional<T>();
  }
  const auto Path = Directory + "/" + Name;
  BOOST_OUTCOME_TRY(Content, readWithChecksum(Files, Path));
  auto Value = decode<T>(Content);
  if (!Value) {
    return malformed(Path);
  }
  return std::optional<T>(std::move(Value.value()));
}

std::string snapshotDirectory(const std::string &Directory) {
  return Directory + "/" + SnapshotName;
}

/// Removes everything in the snapshot directory but the snapshot at `Index`.
storage_result<void> removeOtherFiles(const file_operations &Files,
                                      const std::string &Directory,
                                      std::uint64_t Index) {
  BOOST_OUTCOME_TRY(Names, listDirectory(Files, Directory));
  const auto KeptName = zeroPaddedName(Index);
  for (const auto &Name : Names) {
    if (Name != KeptName) {
      std::string Path = Directory;
      Path.append("/").append(Name);
      BOOST_OUTCOME_TRY(removeFile(Files, Path));
    }
  }
  return outcome::success();
}

} // namespace

storage_result<std::optional<consensus::member>>
readIdentity(const file_operations &Files, const std::string &Directory) {
  return readValue<consensus::member>(Files, Directory, IdentityName);
}

storage_result<void> writeIdentity(const file_operations &Files,
                                   const std::string &Directory,
                                   const consensus::member &Identity) {
  return replaceFile(Files, Directory, IdentityName, encode(Identity));
}

storage_result<std::optional<consensus::hard_state>>
readHardState(const file_operations &Files, const std::string &Directory) {
  BOOST_OUTCOME_TRY(
      Stored, readValue<stored_hard_state>(Files, Directory, HardStateName));
  if (!Stored) {
    return std::optional<consensus::hard_state>();
  }
  consensus::hard_state Hard{Stored->Term, std::nullopt};
  if (Stored->HasVoted) {
    Hard.VotedFor = node_id{Stored->VotedFor};
  }
  return std::optional<consensus::hard_state>(Hard);
}

storage_result<void> writeHardState(const file_operations &Files,
                                    const std::string &Directory,
                                    const consensus::hard_state &Hard) {
  const stored_hard_state Stored{Hard.Term, Hard.VotedFor.has_value(),
                                 number(Hard.VotedFor.value_or(node_id{}))};
  return replaceFile(Files, Directory, HardStateName, encode(Stored));
}

storage_result<std::optional<consensus::snapshot>>
readSnapshot(const file_operations &Files, const std::string &DataDirectory) {
  const auto Directory = snapshotDirectory(DataDirectory);
  BOOST_OUTCOME_TRY(Names, listDirectory(Files, Directory));
  std::optional<std::uint64_t> Newest;
  for (const auto &Name : Names) {
    Newest = std::max(Newest, parseNumberedName(Name, ""));
  }
  if (!Newest) {
    return std::optional<consensus::snapshot>();
  }
  const auto Path = Directory + "/" + zeroPaddedName(*Newest);
  BOOST_OUTCOME_TRY(Content, readWithChecksum(Files, Path));
  constexpr std::size_t LengthBytes = sizeof(std::uint64_t);
  if (Content.size() < LengthBytes) {
    return malformed(Path);
  }
  const auto Length = readUint64(Content, 0);
  if (Length > Content.size() - LengthBytes) {
    return malformed(Path);
  }
  const std::string_view Meta(Content.data() + LengthBytes, Length);
  auto Decoded = decode<consensus::snapshot_meta>(Meta);
  if (!Decoded || Decoded.value().Index != *Newest) {
    return malformed(Path);
  }
  Content.erase(0, LengthBytes + Length);
  BOOST_OUTCOME_TRY(removeOtherFiles(Files, Directory, *Newest));
  return std::optional<consensus::snapshot>(consensus::snapshot{
      std::move(Decoded.value()),
      std::make_shared<const std::string>(std::move(Content))});
}

storage_result<void> writeSnapshot(const file_operations &Files,
                                   const std::string &DataDirectory,
                                   const consensus::snapshot &Snapshot) {
  const auto Directory = snapshotDirectory(DataDirectory);
  const auto Name = zeroPaddedName(Snapshot.Meta.Index);
  const auto Meta = encode(Snapshot.Meta);
  std::string Content;
  appendUint64(Content, Meta.size());
  Content += Meta;
  Content += *Snapshot.Data;
  auto Saved = replaceFile(Files, Directory, Name, Content);
  if (!Saved) {
    // Free the space. Report the write failure and not one of this removal.
    (void)Files.Remove(Directory + "/" + Name + std::string(TemporarySuffix));
    return Saved;
  }
  return removeOtherFiles(Files, Directory, Snapshot.Meta.Index);
}

} // namespace arbutus::storage::impl
