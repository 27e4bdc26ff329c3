#include "pool/upstream_limit.h"

#include <algorithm>
#include <cmath>

namespace arbutus::pool {

namespace {

/// Share of the limit that is left after an overload. The usual half gives
/// away more than one overloaded batch of a continuously batching engine needs.
constexpr double DecreaseFactor = 0.7;
/// Outcomes that arrive within this time belong to the same overload.
constexpr duration DecreaseInterval = 500ms;
/// Time without overload before the limit grows again.
constexpr duration HealthyAfter = 1s;
/// Longest time that one call may grow the limit for, so that a late call does
/// not raise it by a jump.
constexpr duration LongestStep = 200ms;
/// Additive increase is this share of the growth in slow start.
constexpr double AdditiveShare = 0.25;
/// First-token times this many times above the usual show a cold upstream.
constexpr double ColdRatio = 3;
/// Differences below this are noise of scheduling and network.
constexpr double ColdFloorMillis = 20;
/// Samples needed before the usual first-token time is trusted.
constexpr std::uint64_t ColdSamples = 20;

} // namespace

upstream_limit::upstream_limit(limit_options Options, instant Now)
    : Options(Options), Limit(std::min(Options.FirstLimit, Options.MaxLimit)),
      Threshold(Options.MaxLimit), LastAdvance(Now) {}

void upstream_limit::setOptions(limit_options Next) {
  Options = Next;
  Limit = std::min<double>(Limit, Next.MaxLimit);
  Threshold = Next.MaxLimit;
}

void upstream_limit::resume(std::uint32_t From, instant Now) {
  Limit = std::min(From, Options.MaxLimit);
  LastAdvance = Now;
}

void upstream_limit::advance(std::uint32_t InUse, instant Now) {
  const auto Step = std::min(Now - LastAdvance, LongestStep);
  LastAdvance = Now;
  const bool Healthy = !LastDecrease || Now - *LastDecrease >= HealthyAfter;
  if (!Healthy || InUse * 2 < limit()) {
    return;
  }
  // Time alone does not warm an engine; growing before it has completed some
  // requests put more on it than it can bear.
  if (SlowStart && Completed < Options.WarmRequests) {
    return;
  }
  const double Rate = Options.GrowthPerSecond * (SlowStart ? 1 : AdditiveShare);
  Limit = std::min<double>(Options.MaxLimit, Limit + Rate * toSeconds(Step));
  SlowStart = SlowStart && Limit < Threshold;
}

void upstream_limit::onOverload(instant Now) {
  if (LastDecrease && Now - *LastDecrease < DecreaseInterval) {
    return;
  }
  LastDecrease = Now;
  Limit = std::max(1.0, std::floor(Limit * DecreaseFactor));
  Threshold = Limit;
  SlowStart = false;
}

void upstream_limit::onCold(instant Now) {
  Limit = std::min<double>(Limit, Options.FirstLimit);
  Threshold = Options.MaxLimit;
  SlowStart = true;
  Completed = 0;
  LastAdvance = Now;
  RecentFirstToken = UsualFirstToken;
}

bool upstream_limit::onFirstTokens(std::uint64_t Count, std::uint64_t SumMillis,
                                   instant Now) {
  if (Count == 0) {
    return false;
  }
  const double Mean = static_cast<double>(SumMillis) / Count;
  if (FirstTokens == 0) {
    UsualFirstToken = RecentFirstToken = Mean;
  }
  const double Weight = static_cast<double>(std::min<std::uint64_t>(Count, 5));
  RecentFirstToken += (Mean - RecentFirstToken) * 0.2 * Weight;
  UsualFirstToken += (Mean - UsualFirstToken) * 0.01 * Weight;
  FirstTokens += Count;
  if (FirstTokens < ColdSamples ||
      RecentFirstToken < UsualFirstToken * ColdRatio + ColdFloorMillis) {
    return false;
  }
  onCold(Now);
  return true;
}

bool upstream_limit::onLoad(const upstream_load_report &Report, instant Now) {
  const bool Restarted = Incarnation && *Incarnation != Report.Incarnation;
  Incarnation = Report.Incarnation;
  if (Restarted) {
    onCold(Now);
  } else if (Report.Waiting > std::max(2U, Report.Running / 2)) {
    // The engine queues requests itself, in its own order.
    onOverload(Now);
  }
  return Restarted;
}

std::uint32_t upstream_limit::limit() const noexcept {
  return static_cast<std::uint32_t>(Limit);
}

} // namespace arbutus::pool
