#ifndef ARBUTUS_ROLLOUT_VERSION_VERDICT_H
#define ARBUTUS_ROLLOUT_VERSION_VERDICT_H

#include "base/name_table.h"
#include "rollout/version_evidence.h"

#include <cstdint>
#include <string>

namespace arbutus::rollout {

enum class version_verdict : std::uint8_t {
  Undecided, ///< too few answers
  Good,
  Bad,
};

struct version_judgement {
  version_verdict Verdict = version_verdict::Undecided;
  /// Route and counts that decided, for logs and operators.
  std::string Reason;
  /// The version looks worse on some route, but chance may explain that (two
  /// standard deviations).
  bool Suspicious = false;
  /// Answers of the new version on all routes.
  std::uint64_t TargetAnswers = 0;
};

/// Compares a new version with the one that it replaces, route by route. It is
/// bad if on some route its answers fail more often, or take several times as
/// long more often, than chance explains: the confidence intervals of the two
/// shares (Wilson, three standard deviations) do not meet. It must also look
/// worse without the groups of upstreams that have most such answers, because
/// the fault of a few VMs is not one of the version. It is good once each busy
/// route has enough answers.
[[nodiscard]] version_judgement judgeVersion(const version_evidence &Evidence);

} // namespace arbutus::rollout

namespace arbutus {

template <> struct name_table<rollout::version_verdict> {
  using verdict = rollout::version_verdict;
  static constexpr name_row<verdict> Rows[] = {
      {verdict::Undecided, "undecided"},
      {verdict::Good, "good"},
      {verdict::Bad, "bad"},
  };
};

} // namespace arbutus

#endif
