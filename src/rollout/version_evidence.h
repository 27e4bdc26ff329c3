#ifndef ARBUTUS_ROLLOUT_VERSION_EVIDENCE_H
#define ARBUTUS_ROLLOUT_VERSION_EVIDENCE_H

#include "base/clock.h"
#include <msgpack.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutus::rollout {

/// Number of classes of response times, from 1 ms on. Two classes hold times up
/// to twice those of the two before.
inline constexpr std::size_t DurationClasses = 28;

[[nodiscard]] inline std::size_t durationClass(duration Time) noexcept {
  const double Ms = std::max(1.0, static_cast<double>(toMicros(Time)) / 1000);
  return std::min(static_cast<std::size_t>(2 * std::log2(Ms)),
                  DurationClasses - 1);
}

/// Counts of answers. They only grow while a process runs.
struct answer_counts {
  /// Answers of upstreams that ran the request.
  std::uint64_t Answers = 0;
  /// Of these, server errors.
  std::uint64_t Failures = 0;
  /// Response times by class; upstreams that were still starting have none.
  std::vector<std::uint64_t> Durations;

  [[nodiscard]] std::uint64_t timed() const noexcept {
    std::uint64_t Sum = 0;
    for (const auto Count : Durations) {
      Sum += Count;
    }
    return Sum;
  }
  /// Answers with a response time of this class or a longer one.
  [[nodiscard]] std::uint64_t timedFrom(std::size_t Class) const noexcept {
    std::uint64_t Sum = 0;
    for (; Class < Durations.size(); ++Class) {
      Sum += Durations[Class];
    }
    return Sum;
  }
  void addDuration(duration Time) {
    const auto Class = durationClass(Time);
    Durations.resize(std::max(Durations.size(), Class + 1));
    ++Durations[Class];
  }
  answer_counts &operator+=(const answer_counts &Other) {
    Answers += Other.Answers;
    Failures += Other.Failures;
    Durations.resize(std::max(Durations.size(), Other.Durations.size()));
    for (std::size_t I = 0; I < Other.Durations.size(); ++I) {
      Durations[I] += Other.Durations[I];
    }
    return *this;
  }
  /// Subtracts counts that were added before.
  answer_counts &operator-=(const answer_counts &Other) {
    Answers -= Other.Answers;
    Failures -= Other.Failures;
    Durations.resize(std::max(Durations.size(), Other.Durations.size()));
    for (std::size_t I = 0; I < Other.Durations.size(); ++I) {
      Durations[I] -= Other.Durations[I];
    }
    return *this;
  }
  bool operator==(const answer_counts &) const = default;
  MSGPACK_DEFINE(Answers, Failures, Durations)
};

/// Group of upstreams that are counted together, which bounds the size of
/// reports.
using upstream_group = std::uint32_t;
inline constexpr upstream_group UpstreamGroups = 8;

/// Answers on one route by the two versions of its service.
struct route_evidence {
  answer_counts Replaced;
  std::map<upstream_group, answer_counts> Target;

  MSGPACK_DEFINE(Replaced, Target)
};

/// Evidence by the name of the route.
using version_evidence = std::map<std::string, route_evidence>;

/// Adds counts.
inline void add(version_evidence &To, const version_evidence &Counts) {
  for (const auto &[Route, Evidence] : Counts) {
    auto &Sum = To[Route];
    Sum.Replaced += Evidence.Replaced;
    for (const auto &[Group, Answers] : Evidence.Target) {
      Sum.Target[Group] += Answers;
    }
  }
}

/// Subtracts counts that were added before.
inline void subtract(version_evidence &From, const version_evidence &Counts) {
  for (const auto &[Route, Evidence] : Counts) {
    auto &Sum = From[Route];
    Sum.Replaced -= Evidence.Replaced;
    for (const auto &[Group, Answers] : Evidence.Target) {
      Sum.Target[Group] -= Answers;
    }
  }
}

/// What a process reports on one rollout since the rollout began.
struct rollout_report {
  /// Random number of the process. A node may take a new incarnation without a
  /// restart; its counts then go on.
  std::uint64_t Process = 0;
  std::string Service;
  /// Identifies the rollout, with the service.
  std::int64_t StartedMs = 0;
  version_evidence Evidence;
  /// Requests that run at upstreams of other versions than the target.
  std::uint32_t RunningOnReplaced = 0;

  MSGPACK_DEFINE(Process, Service, StartedMs, Evidence, RunningOnReplaced)
};

} // namespace arbutus::rollout

#endif
