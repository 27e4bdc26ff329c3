#include "consensus/raft_log.h"

#include <cassert>
#include <utility>

namespace arbutus::consensus::impl {

raft_log::raft_log(const recovered_state &Recovered)
    : Entries(Recovered.Entries.begin(), Recovered.Entries.end()) {
  if (Recovered.Snapshot) {
    BaseIndex = Recovered.Snapshot->Meta.Index;
    BaseTerm = Recovered.Snapshot->Meta.Term;
  }
  if (!Entries.empty() && Entries.front().Index != BaseIndex + 1) {
    BaseIndex = Entries.front().Index;
    BaseTerm = Entries.front().Term;
    Entries.pop_front();
  }
}

std::optional<std::uint64_t>
raft_log::term(std::uint64_t Index) const noexcept {
  if (Index == BaseIndex) {
    return BaseTerm;
  }
  if (Index < BaseIndex || Index > lastIndex()) {
    return std::nullopt;
  }
  return at(Index).Term;
}

std::vector<log_entry> raft_log::slice(std::uint64_t From,
                                       std::size_t MaxEntries,
                                       std::size_t MaxBytes) const {
  std::vector<log_entry> Part;
  std::size_t Bytes = 0;
  for (auto Index = From; Index <= lastIndex() && Part.size() < MaxEntries;
       ++Index) {
    const auto &Entry = at(Index);
    Bytes += Entry.Payload.size();
    if (!Part.empty() && Bytes > MaxBytes) {
      break;
    }
    Part.push_back(Entry);
  }
  return Part;
}

void raft_log::append(log_entry Entry) {
  assert(Entry.Index == lastIndex() + 1);
  Entries.push_back(std::move(Entry));
}

void raft_log::truncateFrom(std::uint64_t Index) {
  while (!Entries.empty() && Entries.back().Index >= Index) {
    Entries.pop_back();
  }
}

void raft_log::compactThrough(std::uint64_t Index) {
  while (!Entries.empty() && Entries.front().Index <= Index) {
    BaseIndex = Entries.front().Index;
    BaseTerm = Entries.front().Term;
    Entries.pop_front();
  }
}

void raft_log::reset(std::uint64_t Index, std::uint64_t Term) {
  Entries.clear();
  BaseIndex = Index;
  BaseTerm = Term;
}

} // namespace arbutus::consensus::impl
