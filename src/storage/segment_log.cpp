#include "storage/segment_log.h"

#include "storage/record.h"
#include <fcntl.h>

#include <algorithm>
#include <charconv>
#include <numeric>

namespace arbutus::storage::impl {
namespace {

constexpr std::string_view SegmentSuffix = ".segment";

storage_error corrupt(const std::string &Path, std::string Detail) {
  return {storage_errc::Corrupt, Path, std::move(Detail), 0};
}

std::string atOffset(std::string_view What, std::uint64_t Offset) {
  return std::string(What) + " at offset " + std::to_string(Offset);
}

} // namespace

storage_result<std::vector<consensus::log_entry>>
segment_log::open(std::uint64_t SnapshotIndex, std::uint64_t &TornBytes) {
  BOOST_OUTCOME_TRY(Names, listDirectory(*Files, Directory));
  while (Names.size() > 1) {
    const auto NextFirst = parseNumberedName(Names[1], SegmentSuffix);
    if (!NextFirst || *NextFirst > SnapshotIndex) {
      break;
    }
    BOOST_OUTCOME_TRY(removeSegment(Directory + "/" + Names.front()));
    Names.erase(Names.begin());
  }
  std::vector<consensus::log_entry> Entries;
  for (const auto &Name : Names) {
    BOOST_OUTCOME_TRY(
        readSegment(Name, Name == Names.back(), Entries, TornBytes));
  }
  if (!Segments.empty()) {
    BOOST_OUTCOME_TRY(openLastSegment());
    BOOST_OUTCOME_TRY(syncDirectory(*Files, Directory));
  }
  return Entries;
}

std::uint64_t segment_log::bytes() const noexcept {
  return std::accumulate(
      Segments.begin(), Segments.end(), std::uint64_t{0},
      [](std::uint64_t Sum, const segment &S) { return Sum + S.SizeBytes; });
}

storage_result<void> segment_log::createSegment(std::uint64_t FirstIndex) {
  BOOST_OUTCOME_TRY(sync());
  BOOST_OUTCOME_TRY(File,
                    open_file::open(*Files, path(FirstIndex),
                                    O_WRONLY | O_CREAT | O_TRUNC | O_APPEND));
  LastSegmentFile = std::move(File);
  BOOST_OUTCOME_TRY(syncDirectory(*Files, Directory));
  Segments.push_back({FirstIndex, 0, {}});
  SyncedBytes = 0;
  return outcome::success();
}

storage_result<void>
segment_log::append(const std::vector<consensus::log_entry> &Entries) {
  std::string Bytes;
  const auto Flush = [&]() -> storage_result<void> {
    BOOST_OUTCOME_TRY(LastSegmentFile.write(Bytes));
    Bytes.clear();
    return outcome::success();
  };
  for (const auto &Entry : Entries) {
    if (endIndex() != 0 && Entry.Index != endIndex()) {
      return storage_error{storage_errc::InvalidArgument, Directory,
                           "entry " + std::to_string(Entry.Index) +
                               " does not follow the log",
                           0};
    }
    if (Segments.empty() || Segments.back().SizeBytes >= SegmentBytes) {
      if (!Bytes.empty()) {
        BOOST_OUTCOME_TRY(Flush());
      }
      BOOST_OUTCOME_TRY(createSegment(Entry.Index));
    }
    auto &Segment = Segments.back();
    record Record{Entry, SyncedBytes, Checksum, 0};
    encodeRecord(Bytes, Record);
    Checksum = Record.Checksum;
    Segment.EntryPositions.push_back({Segment.SizeBytes, Entry.Term, Checksum});
    Segment.SizeBytes += recordSize(Entry);
  }
  return Flush();
}

storage_result<void> segment_log::sync() {
  if (LastSegmentFile.isOpen() && SyncedBytes != Segments.back().SizeBytes) {
    BOOST_OUTCOME_TRY(LastSegmentFile.sync());
    SyncedBytes = Segments.back().SizeBytes;
  }
  return outcome::success();
}

storage_result<void> segment_log::discardUnsynced() {
  if (!LastSegmentFile.isOpen() || Segments.empty()) {
    return outcome::success();
  }
  // After a failed truncation, the segment may hold less than was synced.
  BOOST_OUTCOME_TRY(LastSegmentFile.truncate(
      std::min(SyncedBytes, Segments.back().SizeBytes)));
  return LastSegmentFile.sync();
}

storage_result<void> segment_log::truncateFrom(std::uint64_t Index) {
  while (!Segments.empty() && Segments.back().FirstIndex >= Index) {
    BOOST_OUTCOME_TRY(removeLastSegment());
  }
  if (Segments.empty() || Segments.back().endIndex() <= Index) {
    return outcome::success();
  }
  auto &Segment = Segments.back();
  const auto KeptEntries = Index - Segment.FirstIndex;
  Segment.SizeBytes = Segment.EntryPositions[KeptEntries].Offset;
  Segment.EntryPositions.resize(KeptEntries);
  Checksum = Segment.EntryPositions.back().Checksum;
  BOOST_OUTCOME_TRY(LastSegmentFile.truncate(Segment.SizeBytes));
  BOOST_OUTCOME_TRY(LastSegmentFile.sync());
  SyncedBytes = Segment.SizeBytes;
  return outcome::success();
}

storage_result<void> segment_log::compactThrough(std::uint64_t Index) {
  while (Segments.size() > 1 && Segments.front().endIndex() <= Index + 1) {
    BOOST_OUTCOME_TRY(removeSegment(path(Segments.front().FirstIndex)));
    Segments.erase(Segments.begin());
  }
  return outcome::success();
}

storage_result<void> segment_log::clear() {
  while (!Segments.empty()) {
    BOOST_OUTCOME_TRY(removeLastSegment());
  }
  return outcome::success();
}

std::string segment_log::path(std::uint64_t FirstIndex) const {
  return Directory + "/" + zeroPaddedName(FirstIndex) +
         std::string(SegmentSuffix);
}

storage_result<void> segment_log::removeSegment(const std::string &Path) {
  BOOST_OUTCOME_TRY(removeFile(*Files, Path));
  return syncDirectory(*Files, Directory);
}

storage_result<void>
segment_log::readSegment(const std::string &Name, bool IsLast,
                         std::vector<consensus::log_entry> &Entries,
                         std::uint64_t &TornBytes) {
  const auto Path = Directory + "/" + Name;
  const auto FirstIndex = parseNumberedName(Name, SegmentSuffix);
  if (!FirstIndex || (endIndex() != 0 && *FirstIndex != endIndex())) {
    return corrupt(Path, "segment does not follow the one before");
  }
  BOOST_OUTCOME_TRY(File, open_file::open(*Files, Path, O_RDWR | O_APPEND));
  BOOST_OUTCOME_TRY(Content, File.readAll());
  segment Segment{*FirstIndex, 0, {}};
  while (Segment.SizeBytes < Content.size()) {
    auto Record = decodeRecord(Content, Segment.SizeBytes);
    const bool First = Segment.EntryPositions.empty() && Segments.empty();
    const bool Follows = Record && Record->Entry.Index == Segment.endIndex() &&
                         (First || Record->PreviousChecksum == Checksum);
    if (!Follows) {
      if (!IsLast || laterRecordProvesSync(Content, Segment.SizeBytes)) {
        return corrupt(Path, atOffset("damaged record", Segment.SizeBytes));
      }
      TornBytes += Content.size() - Segment.SizeBytes;
      BOOST_OUTCOME_TRY(File.truncate(Segment.SizeBytes));
      BOOST_OUTCOME_TRY(File.sync());
      break;
    }
    Checksum = Record->Checksum;
    Segment.EntryPositions.push_back(
        {Segment.SizeBytes, Record->Entry.Term, Checksum});
    Segment.SizeBytes += recordSize(Record->Entry);
    Entries.push_back(std::move(Record->Entry));
  }
  if (!IsLast && Segment.EntryPositions.empty()) {
    return corrupt(Path, "empty segment before the last");
  }
  Segments.push_back(std::move(Segment));
  return outcome::success();
}

storage_result<void> segment_log::openLastSegment() {
  BOOST_OUTCOME_TRY(File,
                    open_file::open(*Files, path(Segments.back().FirstIndex),
                                    O_WRONLY | O_APPEND));
  LastSegmentFile = std::move(File);
  // The bytes read may exist only in the page cache.
  BOOST_OUTCOME_TRY(LastSegmentFile.sync());
  SyncedBytes = Segments.back().SizeBytes;
  return outcome::success();
}

storage_result<void> segment_log::removeLastSegment() {
  LastSegmentFile = open_file();
  BOOST_OUTCOME_TRY(removeFile(*Files, path(Segments.back().FirstIndex)));
  BOOST_OUTCOME_TRY(syncDirectory(*Files, Directory));
  Segments.pop_back();
  Checksum = Segments.empty() || Segments.back().EntryPositions.empty()
                 ? 0
                 : Segments.back().EntryPositions.back().Checksum;
  return Segments.empty() ? outcome::success() : openLastSegment();
}

std::string zeroPaddedName(std::uint64_t Number) {
  constexpr std::size_t Digits = 20; // of the largest 64-bit number
  auto Name = std::to_string(Number);
  return Name.insert(0, Digits - Name.size(), '0');
}

std::optional<std::uint64_t> parseNumberedName(std::string_view Name,
                                               std::string_view Suffix) {
  if (Name.size() <= Suffix.size() ||
      Name.substr(Name.size() - Suffix.size()) != Suffix) {
    return std::nullopt;
  }
  Name.remove_suffix(Suffix.size());
  std::uint64_t Number = 0;
  const auto [End, Failure] =
      std::from_chars(Name.data(), Name.data() + Name.size(), Number);
  if (Failure != std::errc() || End != Name.data() + Name.size()) {
    return std::nullopt;
  }
  return Number;
}

} // namespace arbutus::storage::impl
