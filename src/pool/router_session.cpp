#include "pool/router_session.h"

#include <algorithm>

namespace arbutus::pool {

namespace {

/// Maximum number of entries in one grant. The rest follow after an
/// acknowledgement.
constexpr std::size_t MaxEntriesPerGrant = 512;

} // namespace

std::uint32_t session_upstream::minInFlightWithin(instant From,
                                                  instant To) const {
  std::optional<std::uint32_t> Min;
  for (auto At = Samples.rbegin(); At != Samples.rend(); ++At) {
    if (At->At <= To) {
      Min = std::min(Min.value_or(At->MinInFlight), At->MinInFlight);
    }
    if (At->At <= From) {
      return *Min;
    }
  }
  return 0;
}

void router_session::enqueueEntry(grant_entry Entry, double ProvisionalCost) {
  const auto Last = FirstEntry + Entries.size() - 1;
  if (!Entries.empty() && Last > LastSentEntry) {
    auto &Newest = Entries.back();
    if (Entry.Kind == static_cast<std::uint8_t>(entry_kind::Slots) &&
        Newest.Entry.Kind == Entry.Kind && Newest.Entry.Team == Entry.Team &&
        Newest.Entry.Upstream == Entry.Upstream) {
      Newest.Entry.Count += Entry.Count;
      Newest.Entry.Value = Entry.Value;
      Newest.ProvisionalCost += ProvisionalCost;
      return;
    }
  }
  Entries.push_back({Entry, ProvisionalCost});
}

std::vector<router_session::outstanding_entry>
router_session::acknowledge(std::uint64_t Applied) {
  std::vector<outstanding_entry> Acknowledged;
  while (!Entries.empty() && FirstEntry <= std::min(Applied, LastSentEntry)) {
    Acknowledged.push_back(Entries.front());
    Entries.pop_front();
    ++FirstEntry;
  }
  return Acknowledged;
}

std::optional<pool_grant> router_session::buildGrantIfDue(epoch Epoch,
                                                          duration ResendAfter,
                                                          duration AckDelay,
                                                          instant Now) {
  const auto Count = std::min(Entries.size(), MaxEntriesPerGrant);
  const auto Last = FirstEntry + Count - 1;
  const bool Fresh = Count > 0 && Last > LastSentEntry;
  const bool Resend = Count > 0 && Now - LastSentAt >= ResendAfter;
  const bool AckDue = AckPendingSince && Now - *AckPendingSince >= AckDelay;
  if (!Reported || !(Fresh || Resend || AckDue)) {
    return std::nullopt;
  }
  pool_grant Grant;
  Grant.Epoch = number(Epoch);
  Grant.Session = static_cast<std::uint32_t>(number(Info.Incarnation));
  Grant.FirstEntry = FirstEntry;
  Grant.AcknowledgedReport = Sequence;
  for (std::size_t I = 0; I < Count; ++I) {
    Grant.Entries.push_back(Entries[I].Entry);
  }
  LastSentEntry = std::max(LastSentEntry, Last);
  LastSentAt = Now;
  AckPendingSince.reset();
  return Grant;
}

} // namespace arbutus::pool
