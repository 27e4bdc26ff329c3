#ifndef ARBUTUS_STORE_ROLLOUT_H
#define ARBUTUS_STORE_ROLLOUT_H

#include "base/name_table.h"
#include <msgpack.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::store {

/// Progress of a rollout. The numbers are part of the log format. A rollout
/// only moves to a later value, and ends in one of the last two.
enum class rollout_phase : int {
  /// A small share of the requests goes to a few upstreams of the new version.
  Canary = 0,
  /// A larger share goes to all upstreams of the new version.
  Expanding = 1,
  /// All new requests go to the new version; the old one finishes its own.
  Shifting = 2,
  Succeeded = 3,
  RolledBack = 4,
};

/// Share of the requests that the new version receives while it expands.
inline constexpr double ExpandingShare = 0.25;

/// Moves the requests of a service from the versions that it has to another
/// one. The object bears the service's name. It stays after its end, because it
/// says which versions may not receive requests any more.
struct rollout {
  /// The new version.
  std::string Target;
  /// Versions that the service had when the order was accepted.
  std::vector<std::string> Replaced;
  rollout_phase Phase = rollout_phase::Canary;
  /// Log times of the order, of its deadline and of the beginning of the phase,
  /// in milliseconds.
  std::int64_t StartedMs = 0;
  std::int64_t DeadlineMs = 0;
  std::int64_t PhaseStartedMs = 0;
  /// Share of the requests that the new version receives as a canary, 0 to 1.
  double CanaryShare = 0;
  /// Why the phase was entered, with the counts behind the decision.
  std::string Reason;

  [[nodiscard]] bool isRunning() const noexcept {
    return Phase < rollout_phase::Succeeded;
  }
  /// Share of the requests that the new version receives now, 0 to 1.
  [[nodiscard]] double targetShare() const noexcept {
    switch (Phase) {
    case rollout_phase::Canary:
      return CanaryShare;
    case rollout_phase::Expanding:
      return std::max(CanaryShare, ExpandingShare);
    case rollout_phase::Shifting:
    case rollout_phase::Succeeded:
      return 1;
    case rollout_phase::RolledBack:
      return 0;
    }
    return 0;
  }
  /// True if no request may be sent to upstreams of this version.
  [[nodiscard]] bool isBarred(std::string_view Version) const {
    switch (Phase) {
    case rollout_phase::Canary:
    case rollout_phase::Expanding:
      return false;
    case rollout_phase::Shifting:
      return Version != Target;
    case rollout_phase::Succeeded:
      return std::find(Replaced.begin(), Replaced.end(), Version) !=
             Replaced.end();
    case rollout_phase::RolledBack:
      return Version == Target;
    }
    return false;
  }

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("target", Spec.Target);
    Visit.required("replaced", Spec.Replaced);
    Visit.required("phase", Spec.Phase);
    Visit.required("started_ms", Spec.StartedMs);
    Visit.required("deadline_ms", Spec.DeadlineMs);
    Visit.required("phase_started_ms", Spec.PhaseStartedMs);
    Visit.required("canary_share", Spec.CanaryShare);
    Visit.required("reason", Spec.Reason);
  }
  bool operator==(const rollout &) const = default;
  MSGPACK_DEFINE(Target, Replaced, Phase, StartedMs, DeadlineMs, PhaseStartedMs,
                 CanaryShare, Reason)
};

/// Most upstreams receive requests of a canary at the load that they would bear
/// after the rollout, so that faults under load show: a share of the upstreams
/// equal to the share of the requests, but at least this many, so that the
/// fault of one VM is told from one of the version.
inline constexpr std::size_t MinCanaryUpstreams = 3;

} // namespace arbutus::store

namespace arbutus {

template <> struct name_table<store::rollout_phase> {
  static constexpr name_row<store::rollout_phase> Rows[] = {
      {store::rollout_phase::Canary, "canary"},
      {store::rollout_phase::Expanding, "expanding"},
      {store::rollout_phase::Shifting, "shifting"},
      {store::rollout_phase::Succeeded, "succeeded"},
      {store::rollout_phase::RolledBack, "rolled_back"},
  };
};

} // namespace arbutus

MSGPACK_ADD_ENUM(arbutus::store::rollout_phase)

#endif
