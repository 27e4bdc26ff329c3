#include "balance/upstream_load.h"

#include <algorithm>

namespace arbutus::balance {

namespace {

/// Reports that are older say nothing about the load now.
constexpr duration ReportLifetime = 2s;
/// Prompt tokens that one upstream reads in about half a second. More of them
/// in its queue delay first tokens beyond most objectives.
constexpr double PrefillBudgetTokens = 24'000;
/// Requests that a plain service may hold for each of its slots, running and
/// waiting: one of each keeps its slots busy between two requests.
constexpr double RequestsPerSlot = 2;

} // namespace

double estimatedRequests(const upstream_load &Load, std::uint32_t Routers,
                         instant Now) {
  if (!Load.Reported || Now - Load.Reported->At > ReportLifetime) {
    return static_cast<double>(Load.InFlight) * std::max(1U, Routers);
  }
  const double Estimate =
      static_cast<double>(Load.Reported->Running + Load.Reported->Waiting) +
      static_cast<double>(Load.SentSince) -
      static_cast<double>(Load.EndedSince);
  return std::max<double>(Estimate, Load.InFlight);
}

double relativeLoad(const upstream_load &Load, std::uint32_t Routers,
                    instant Now) {
  const double Requests = estimatedRequests(Load, Routers, Now);
  const double Share =
      Requests / (RequestsPerSlot * std::max(1U, Load.Facts.Slots));
  const double Prefill = static_cast<double>(Load.PrefillTokens) *
                         std::max(1U, Routers) / PrefillBudgetTokens;
  return std::max(Share, Prefill);
}

bool accepts(const upstream_load &Load, instant Now) noexcept {
  return Load.Facts.Usable && Now >= Load.AvoidUntil &&
         (Load.Facts.ColdRate <= 0 || Now >= Load.NextCold);
}

} // namespace arbutus::balance
