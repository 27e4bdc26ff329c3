#include "pool/upstream_limit.h"

#include <algorithm>
#include <cmath>

namespace arbutus::pool {

namespace {

/// Factor of the limit on overload. The usual half reduces the limit by more
/// than one overloaded batch of a continuously batching engine needs.
constexpr double DecreaseFactor = 0.7;
/// Overloads within this time after a decrease count as the same one.
constexpr duration DecreaseInterval = 500ms;
/// Time without overload before the limit grows again.
constexpr duration HealthyAfter = 1s;
/// Maximum time that one call grows the limit for, so that a late call does
/// not raise it by a jump.
constexpr duration MaxStep = 200ms;
/// Growth in additive increase as a share of that in slow start.
constexpr double AdditiveIncreaseShare = 0.25;
/// An upstream is cold when its first-token times exceed this multiple of the
/// baseline.
constexpr double ColdRatio = 3;
/// Smaller differences are noise of scheduling and network.
constexpr double MinColdDifferenceMillis = 20;
/// Number of first tokens before the baseline is used.
constexpr std::uint64_t MinBaselineSamples = 20;

} // namespace

upstream_limit::upstream_limit(limit_options Options, instant Now)
    : Options(Options), Limit(std::min(Options.FirstLimit, Options.MaxLimit)),
      SlowStartThreshold(Options.MaxLimit), LastAdvance(Now) {}

void upstream_limit::setOptions(limit_options Next) {
  Options = Next;
  Limit = std::min<double>(Limit, Next.MaxLimit);
  SlowStartThreshold = Next.MaxLimit;
}

void upstream_limit::resume(std::uint32_t From, instant Now) {
  Limit = std::min(From, Options.MaxLimit);
  LastAdvance = Now;
}

void upstream_limit::advance(std::uint32_t InUse, instant Now) {
  const auto Step = std::min(Now - LastAdvance, MaxStep);
  LastAdvance = Now;
  const bool Healthy = !LastDecrease || Now - *LastDecrease >= HealthyAfter;
  if (!Healthy || InUse * 2 < limit()) {
    return;
  }
  // An engine warms up by completing requests, not by time. Growth before that
  // overloads it.
  if (SlowStart && Completed < Options.WarmRequests) {
    return;
  }
  const double Rate =
      Options.GrowthPerSecond * (SlowStart ? 1 : AdditiveIncreaseShare);
  Limit = std::min<double>(Options.MaxLimit, Limit + Rate * toSeconds(Step));
  SlowStart = SlowStart && Limit < SlowStartThreshold;
}

void upstream_limit::onOverload(instant Now) {
  if (LastDecrease && Now - *LastDecrease < DecreaseInterval) {
    return;
  }
  LastDecrease = Now;
  Limit = std::max(1.0, std::floor(Limit * DecreaseFactor));
  SlowStartThreshold = Limit;
  SlowStart = false;
}

void upstream_limit::restartSlowStart(instant Now) {
  Limit = std::min<double>(Limit, Options.FirstLimit);
  SlowStartThreshold = Options.MaxLimit;
  SlowStart = true;
  Completed = 0;
  LastAdvance = Now;
  RecentFirstTokenMillis = BaselineFirstTokenMillis;
}

bool upstream_limit::onFirstTokens(std::uint64_t Count, std::uint64_t SumMillis,
                                   instant Now) {
  if (Count == 0) {
    return false;
  }
  const double Mean = static_cast<double>(SumMillis) / Count;
  if (FirstTokens == 0) {
    BaselineFirstTokenMillis = RecentFirstTokenMillis = Mean;
  }
  const double Weight = static_cast<double>(std::min<std::uint64_t>(Count, 5));
  RecentFirstTokenMillis += (Mean - RecentFirstTokenMillis) * 0.2 * Weight;
  BaselineFirstTokenMillis += (Mean - BaselineFirstTokenMillis) * 0.01 * Weight;
  FirstTokens += Count;
  if (FirstTokens < MinBaselineSamples ||
      RecentFirstTokenMillis <
          BaselineFirstTokenMillis * ColdRatio + MinColdDifferenceMillis) {
    return false;
  }
  restartSlowStart(Now);
  return true;
}

bool upstream_limit::onLoad(const upstream_load_report &Report, instant Now) {
  const bool Restarted = Incarnation && *Incarnation != Report.Incarnation;
  Incarnation = Report.Incarnation;
  if (Restarted) {
    restartSlowStart(Now);
  } else if (Report.Waiting > std::max(2U, Report.Running / 2)) {
    // The engine has a queue of its own, whose order is not the fair one.
    onOverload(Now);
  }
  return Restarted;
}

std::uint32_t upstream_limit::limit() const noexcept {
  return static_cast<std::uint32_t>(Limit);
}

} // namespace arbutus::pool
