#include "balance/upstream_load.h"

#include <algorithm>

namespace arbutus::balance {

namespace {

/// Reports that are older say nothing about the load now.
constexpr duration ReportLifetime = 2s;
/// Prompt tokens that may wait at an engine when another prompt is sent to it.
/// While an engine reads prompts without a pause, each output token takes as
/// long as a chunk of prompt, and every stream on it stalls. With one prompt at
/// a time the engine generates some tokens in between; this few more are read
/// within a step or two.
constexpr std::uint64_t PrefillGateTokens = 600;
/// Requests that a plain service may hold for each of its slots, running and
/// waiting: one of each keeps its slots busy between two requests.
constexpr double RequestsPerSlot = 2;

} // namespace

double estimatedRequests(const upstream_load &Load, std::uint32_t Sharers,
                         instant Now) {
  if (!Load.Reported || Now - Load.Reported->At > ReportLifetime) {
    return static_cast<double>(Load.InFlight) * std::max(1U, Sharers);
  }
  const double Estimate =
      static_cast<double>(Load.Reported->Running + Load.Reported->Waiting) +
      static_cast<double>(Load.SentSince) -
      static_cast<double>(Load.EndedSince);
  return std::max<double>(Estimate, Load.InFlight);
}

bool hasRoom(const upstream_load &Load, std::uint32_t Sharers, instant Now) {
  const double Slots = std::max(1U, Load.Facts.Slots);
  const double Requests = estimatedRequests(Load, Sharers, Now);
  if (Load.Facts.IsModelEngine) {
    return Requests < Slots &&
           Load.PrefillTokens * std::max(1U, Sharers) < PrefillGateTokens;
  }
  return Requests < RequestsPerSlot * Slots;
}

bool accepts(const upstream_load &Load, instant Now) noexcept {
  return Load.Facts.Usable && Now >= Load.AvoidUntil &&
         (Load.Facts.ColdRequestsPerSecond <= 0 || Now >= Load.NextCold);
}

} // namespace arbutus::balance
