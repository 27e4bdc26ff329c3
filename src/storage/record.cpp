#include "storage/record.h"

#include "base/digest.h"
#include "storage/file_io.h"

namespace arbutus::storage::impl {
namespace {

/// Begins every record; lets the search for later records skip fast.
constexpr std::uint64_t Mark = 0x315f676f6c627261ULL; // "arblog_1"

/// Kinds take the top byte of the number that holds the term.
constexpr unsigned KindShift = 56;
constexpr std::uint64_t MaxTerm = (std::uint64_t{1} << KindShift) - 1;

std::uint64_t checksumOf(std::string_view Header, std::string_view Payload) {
  return hash64(Payload, hash64(Header));
}

} // namespace

void putRecord(std::string &Bytes, record &Record) {
  const auto &Entry = Record.Entry;
  const auto Begin = Bytes.size();
  putNumber(Bytes, Mark);
  putNumber(Bytes, Entry.Payload.size());
  putNumber(Bytes, Entry.Index);
  putNumber(Bytes,
            Entry.Term | (static_cast<std::uint64_t>(Entry.Kind) << KindShift));
  putNumber(Bytes, Record.SyncedSize);
  putNumber(Bytes, Record.Previous);
  Record.Checksum =
      checksumOf(std::string_view(Bytes).substr(Begin), Entry.Payload);
  putNumber(Bytes, Record.Checksum);
  Bytes += Entry.Payload;
}

std::optional<record> recordAt(std::string_view Bytes, std::size_t Offset) {
  Bytes.remove_prefix(Offset);
  if (Bytes.size() < RecordHeaderBytes || numberAt(Bytes, 0) != Mark) {
    return std::nullopt;
  }
  const auto Length = numberAt(Bytes, 8);
  if (Length > Bytes.size() - RecordHeaderBytes) {
    return std::nullopt;
  }
  const auto Payload = Bytes.substr(RecordHeaderBytes, Length);
  record Record;
  Record.Checksum = numberAt(Bytes, RecordHeaderBytes - 8);
  if (checksumOf(Bytes.substr(0, RecordHeaderBytes - 8), Payload) !=
      Record.Checksum) {
    return std::nullopt;
  }
  const auto TermAndKind = numberAt(Bytes, 24);
  const auto Kind = TermAndKind >> KindShift;
  if (Kind > static_cast<std::uint64_t>(consensus::entry_kind::Membership)) {
    return std::nullopt;
  }
  Record.Entry.Index = numberAt(Bytes, 16);
  Record.Entry.Term = TermAndKind & MaxTerm;
  Record.Entry.Kind = static_cast<consensus::entry_kind>(Kind);
  Record.Entry.Payload = Payload;
  Record.SyncedSize = numberAt(Bytes, 32);
  Record.Previous = numberAt(Bytes, 40);
  return Record;
}

bool wasSynced(std::string_view Bytes, std::size_t Offset) {
  std::string Pattern;
  putNumber(Pattern, Mark);
  for (auto At = Bytes.find(Pattern, Offset + 1); At != std::string_view::npos;
       At = Bytes.find(Pattern, At + 1)) {
    const auto Later = recordAt(Bytes, At);
    if (Later && Later->SyncedSize > Offset) {
      return true;
    }
  }
  return false;
}

} // namespace arbutus::storage::impl
