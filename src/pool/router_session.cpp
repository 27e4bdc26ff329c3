#include "pool/router_session.h"

#include <algorithm>

namespace arbutus::pool {

namespace {

/// Most entries in one frame; the rest follow after an acknowledgement.
constexpr std::size_t MostEntries = 512;

} // namespace

std::uint32_t session_upstream::leastWithin(instant From, instant To) const {
  std::optional<std::uint32_t> Least;
  for (auto At = Samples.rbegin(); At != Samples.rend(); ++At) {
    if (At->At <= To) {
      Least = std::min(Least.value_or(At->LeastInFlight), At->LeastInFlight);
    }
    if (At->At <= From) {
      return *Least;
    }
  }
  return 0;
}

void router_session::push(grant_entry Entry, double Provisional) {
  const auto Last = First + Entries.size() - 1;
  if (!Entries.empty() && Last > Sent) {
    auto &Back = Entries.back();
    if (Entry.Kind == static_cast<std::uint8_t>(entry_kind::Slots) &&
        Back.Entry.Kind == Entry.Kind && Back.Entry.Team == Entry.Team &&
        Back.Entry.Upstream == Entry.Upstream) {
      Back.Entry.Count += Entry.Count;
      Back.Entry.Value = Entry.Value;
      Back.Provisional += Provisional;
      return;
    }
  }
  Entries.push_back({Entry, Provisional});
}

std::vector<router_session::sent_entry>
router_session::acknowledge(std::uint64_t Applied) {
  std::vector<sent_entry> Done;
  while (!Entries.empty() && First <= std::min(Applied, Sent)) {
    Done.push_back(Entries.front());
    Entries.pop_front();
    ++First;
  }
  return Done;
}

std::optional<pool_grant> router_session::frame(epoch Epoch,
                                                duration ResendAfter,
                                                duration AckDelay,
                                                instant Now) {
  const auto Count = std::min(Entries.size(), MostEntries);
  const auto Last = First + Count - 1;
  const bool Fresh = Count > 0 && Last > Sent;
  const bool Resend = Count > 0 && Now - LastSent >= ResendAfter;
  const bool AckDue = AckOwedSince && Now - *AckOwedSince >= AckDelay;
  if (!Reported || !(Fresh || Resend || AckDue)) {
    return std::nullopt;
  }
  pool_grant Grant;
  Grant.Epoch = number(Epoch);
  Grant.Session = static_cast<std::uint32_t>(number(Member.Incarnation));
  Grant.First = First;
  Grant.ReportSeen = Sequence;
  for (std::size_t I = 0; I < Count; ++I) {
    Grant.Entries.push_back(Entries[I].Entry);
  }
  Sent = std::max(Sent, Last);
  LastSent = Now;
  AckOwedSince.reset();
  return Grant;
}

} // namespace arbutus::pool
