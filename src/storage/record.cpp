#include "storage/record.h"

#include "base/digest.h"
#include "storage/file_io.h"

namespace arbutus::storage::impl {
namespace {

/// First number of every record; speeds up the search for later records.
constexpr std::uint64_t RecordMagic = 0x315f676f6c627261ULL; // "arblog_1"

/// The entry kind is stored in the top byte of the term.
constexpr unsigned KindShift = 56;
constexpr std::uint64_t MaxTerm = (std::uint64_t{1} << KindShift) - 1;

std::uint64_t checksumOf(std::string_view Header, std::string_view Payload) {
  return hash64(Payload, hash64(Header));
}

} // namespace

void encodeRecord(std::string &Bytes, record &Record) {
  const auto &Entry = Record.Entry;
  const auto Begin = Bytes.size();
  appendUint64(Bytes, RecordMagic);
  appendUint64(Bytes, Entry.Payload.size());
  appendUint64(Bytes, Entry.Index);
  appendUint64(Bytes, Entry.Term | (static_cast<std::uint64_t>(Entry.Kind)
                                    << KindShift));
  appendUint64(Bytes, Record.SyncedBytes);
  appendUint64(Bytes, Record.PreviousChecksum);
  Record.Checksum =
      checksumOf(std::string_view(Bytes).substr(Begin), Entry.Payload);
  appendUint64(Bytes, Record.Checksum);
  Bytes += Entry.Payload;
}

std::optional<record> decodeRecord(std::string_view Bytes, std::size_t Offset) {
  Bytes.remove_prefix(Offset);
  if (Bytes.size() < RecordHeaderBytes || readUint64(Bytes, 0) != RecordMagic) {
    return std::nullopt;
  }
  const auto Length = readUint64(Bytes, 8);
  if (Length > Bytes.size() - RecordHeaderBytes) {
    return std::nullopt;
  }
  const auto Payload = Bytes.substr(RecordHeaderBytes, Length);
  record Record;
  Record.Checksum = readUint64(Bytes, RecordHeaderBytes - 8);
  if (checksumOf(Bytes.substr(0, RecordHeaderBytes - 8), Payload) !=
      Record.Checksum) {
    return std::nullopt;
  }
  const auto TermAndKind = readUint64(Bytes, 24);
  const auto Kind = TermAndKind >> KindShift;
  if (Kind > static_cast<std::uint64_t>(consensus::entry_kind::Membership)) {
    return std::nullopt;
  }
  Record.Entry.Index = readUint64(Bytes, 16);
  Record.Entry.Term = TermAndKind & MaxTerm;
  Record.Entry.Kind = static_cast<consensus::entry_kind>(Kind);
  Record.Entry.Payload = Payload;
  Record.SyncedBytes = readUint64(Bytes, 32);
  Record.PreviousChecksum = readUint64(Bytes, 40);
  return Record;
}

bool laterRecordProvesSync(std::string_view Bytes, std::size_t Offset) {
  std::string Pattern;
  appendUint64(Pattern, RecordMagic);
  for (auto Position = Bytes.find(Pattern, Offset + 1);
       Position != std::string_view::npos;
       Position = Bytes.find(Pattern, Position + 1)) {
    const auto Later = decodeRecord(Bytes, Position);
    if (Later && Later->SyncedBytes > Offset) {
      return true;
    }
  }
  return false;
}

} // namespace arbutus::storage::impl
