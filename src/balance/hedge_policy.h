#ifndef ARBUTUS_BALANCE_HEDGE_POLICY_H
#define ARBUTUS_BALANCE_HEDGE_POLICY_H

#include "base/clock.h"
#include "base/ids.h"
#include "base/name_table.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace arbutus::balance {

/// Quantiles of the recent response times of a service, from a histogram whose
/// counts decay. Classes are an eighth of a power of two wide, so that a
/// quantile is at most 9 % too long. Not thread-safe.
class response_time_quantiles {
public:
  void add(duration Time) noexcept {
    for (auto &Count : Counts) {
      Count *= Decay;
    }
    Total = Total * Decay + 1;
    Counts[classOf(Time)] += 1;
  }

  /// The time that this share of the responses did not exceed. Nothing before
  /// `MinWeight` responses.
  [[nodiscard]] std::optional<duration> quantile(double Share) const noexcept {
    if (Total < MinWeight) {
      return std::nullopt;
    }
    double Sum = 0;
    std::size_t Class = 0;
    for (; Class + 1 < Counts.size(); ++Class) {
      Sum += Counts[Class];
      if (Sum >= Share * Total) {
        break;
      }
    }
    return duration(static_cast<std::int64_t>(
        1000 * std::exp2(static_cast<double>(Class + 1) / ClassesPerDoubling)));
  }

  static constexpr double MinWeight = 40;

private:
  static constexpr double ClassesPerDoubling = 8;
  /// The latest 400 responses have most of the weight.
  static constexpr double Decay = 1 - 1.0 / 400;

  static std::size_t classOf(duration Time) noexcept {
    const double Ms = std::max(1.0, static_cast<double>(toMicros(Time)) / 1000);
    const auto Class =
        static_cast<std::size_t>(ClassesPerDoubling * std::log2(Ms));
    return std::min(Class, std::size_t{127});
  }

  /// From 1 ms to 65 s.
  std::array<double, 128> Counts{};
  double Total = 0;
};

/// Bounds the extra work of second attempts to a share of a service's requests.
/// Each router earns credit by its own requests, so that the fleet keeps to the
/// share without messages, and a busy router can use all that it earns. A
/// router begins without credit.
class hedge_budget {
public:
  /// Records the first attempt of a request. `Share` is the extra work that is
  /// allowed for each.
  void deposit(double Share) noexcept {
    Credit = std::min(MaxCredit, Credit + Share);
  }
  [[nodiscard]] bool hasCredit() const noexcept { return Credit >= 1; }
  void withdraw() noexcept { Credit -= 1; }

private:
  /// Second attempts that a router may send at once.
  static constexpr double MaxCredit = 5;
  double Credit = 0;
};

/// Upstreams whose first attempts were slow lately. Second attempts avoid them,
/// because several may be slow at once.
class slow_upstreams {
public:
  void add(upstream_id Upstream, instant Now) {
    Until[Upstream] = Now + Memory;
  }
  /// Calls `Visit` with each of them, and forgets those of some time ago.
  template <class Visitor> void visit(instant Now, Visitor Visit) {
    std::erase_if(Until, [&](const auto &Row) { return Row.second <= Now; });
    for (const auto &[Upstream, Time] : Until) {
      Visit(Upstream);
    }
  }

private:
  static constexpr duration Memory = 2s;
  std::map<upstream_id, instant> Until;
};

/// What is known of a request whose first attempt has no response yet.
struct hedge_input {
  /// Time since the first attempt was sent, and until the caller gives up.
  duration Elapsed{};
  duration TimeLeft{};
  /// Time within which most responses of the service come, see `HedgeQuantile`,
  /// and the usual time; nothing if they are not known.
  std::optional<duration> Slow;
  std::optional<duration> Usual;
  /// Share of the service's upstreams without capacity, 0 to 1.
  double BusyShare = 0;
  bool HasAttemptsLeft = false;
  bool HasCredit = false;
};

/// Whether a second attempt is sent, or why not.
enum class hedge_verdict : std::uint8_t {
  Send,
  Early,    ///< the first attempt may still be among the usual ones
  Unknown,  ///< too few responses to tell slow ones
  Busy,     ///< a second attempt would slow the service down for all
  TooLate,  ///< it would not be answered in time
  Attempts, ///< the route allows no further attempt
  Credit,   ///< the limit of extra work is reached
};

/// A second attempt follows once the first takes longer than this share of the
/// responses, or than this many times the usual one: with several slow
/// upstreams, the share alone would be a slow response itself.
inline constexpr double HedgeQuantile = 0.95;
inline constexpr double UsualQuantile = 0.5;
inline constexpr int SlowFactor = 3;
/// From this share of busy upstreams on, no second attempts are sent.
inline constexpr double MaxHedgeBusyShare = 0.5;

/// Time after which a first attempt is slow. Only if both times are known.
[[nodiscard]] inline duration slowAfter(const hedge_input &Input) noexcept {
  return std::min(*Input.Slow, SlowFactor * *Input.Usual);
}

/// Decides on a second attempt for a request that may be repeated.
[[nodiscard]] inline hedge_verdict
decideHedge(const hedge_input &Input) noexcept {
  if (!Input.Slow || !Input.Usual) {
    return hedge_verdict::Unknown;
  }
  if (Input.Elapsed < slowAfter(Input)) {
    return hedge_verdict::Early;
  }
  if (!Input.HasAttemptsLeft) {
    return hedge_verdict::Attempts;
  }
  if (Input.BusyShare >= MaxHedgeBusyShare) {
    return hedge_verdict::Busy;
  }
  if (Input.TimeLeft < *Input.Usual) {
    return hedge_verdict::TooLate;
  }
  return Input.HasCredit ? hedge_verdict::Send : hedge_verdict::Credit;
}

/// True if a later decision on the same request may be another one.
[[nodiscard]] constexpr bool mayChange(hedge_verdict Verdict) noexcept {
  return Verdict == hedge_verdict::Busy || Verdict == hedge_verdict::Credit;
}

} // namespace arbutus::balance

namespace arbutus {

template <> struct name_table<balance::hedge_verdict> {
  using verdict = balance::hedge_verdict;
  static constexpr name_row<verdict> Rows[] = {
      {verdict::Send, "send"},        {verdict::Early, "early"},
      {verdict::Unknown, "unknown"},  {verdict::Busy, "busy"},
      {verdict::TooLate, "too_late"}, {verdict::Attempts, "no_attempts_left"},
      {verdict::Credit, "no_credit"},
  };
};

} // namespace arbutus

#endif
