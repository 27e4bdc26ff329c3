#include "consensus/raft_log.h"

#include <cassert>
#include <utility>

namespace arbutus::consensus::impl {

raft_log::raft_log(const std::optional<snapshot> &Snapshot,
                   std::vector<log_entry> Recovered) {
  if (Snapshot) {
    BaseIndex = Snapshot->Meta.Index;
    BaseTerm = Snapshot->Meta.Term;
  }
  const bool FollowsBase =
      Recovered.empty() || Recovered.front().Index == BaseIndex + 1;
  if (!FollowsBase) {
    BaseIndex = Recovered.front().Index - 1;
  }
  for (auto &Entry : Recovered) {
    append(std::move(Entry));
  }
  if (!FollowsBase) {
    removeFirst();
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
  const auto EndOffset = endOffset(lastIndex()) + Entry.Payload.size();
  Entries.push_back({std::move(Entry), EndOffset});
}

void raft_log::truncateFrom(std::uint64_t Index) {
  while (!Entries.empty() && lastIndex() >= Index) {
    Entries.pop_back();
  }
}

void raft_log::compactThrough(std::uint64_t Index) {
  while (!Entries.empty() && BaseIndex < Index) {
    removeFirst();
  }
}

void raft_log::reset(std::uint64_t Index, std::uint64_t Term) {
  Entries.clear();
  BaseIndex = Index;
  BaseTerm = Term;
  BaseOffset = 0;
}

void raft_log::removeFirst() {
  const auto &First = Entries.front();
  BaseIndex = First.Entry.Index;
  BaseTerm = First.Entry.Term;
  BaseOffset = First.EndOffset;
  Entries.pop_front();
}

} // namespace arbutus::consensus::impl
