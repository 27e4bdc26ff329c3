#include "rollout/version_verdict.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace arbutus::rollout {

namespace {

/// The verdict is asked for many times in a rollout, so that a rare chance
/// would come: three standard deviations. A suspicion only delays a rollout,
/// and counts once at its end.
constexpr double VerdictDeviations = 3;
constexpr double SuspicionDeviations = 2;
/// Part of the groups of upstreams, the worst ones, without which a version
/// must still look worse.
constexpr double TrimmedShare = 1.0 / 3;
/// The shares must differ by more than these.
constexpr double FailureMargin = 0.02;
constexpr double SlowMargin = 0.15;
/// Fewer bad answers decide nothing.
constexpr std::uint64_t MinBadAnswers = 5;
constexpr std::uint64_t MinTrimmedBadAnswers = 2;
/// A response time is slow if it is two to three times this quantile of those
/// of the replaced version, or longer.
constexpr double UsualQuantile = 0.75;
constexpr std::size_t SlowClassDistance = 3;
/// Answers that each busy route needs before a version counts as good. Of this
/// many, one bad answer is seen with 99 % if a third are bad.
constexpr std::uint64_t MinAnswersPerRoute = 12;
/// A route with a smaller share of the answers does not hold a rollout up.
constexpr double BusyRouteShare = 0.02;

struct share {
  std::uint64_t Bad = 0;
  std::uint64_t All = 0;
};

struct interval {
  double Low = 0;
  double High = 1;
};

/// Wilson score interval of a share.
interval confidence(const share &Share, double Deviations) {
  if (Share.All == 0) {
    return {};
  }
  const double Count = static_cast<double>(Share.All);
  const double Mean = static_cast<double>(Share.Bad) / Count;
  const double Square = Deviations * Deviations;
  const double Centre = Mean + Square / (2 * Count);
  const double Width = Deviations * std::sqrt(Mean * (1 - Mean) / Count +
                                              Square / (4 * Count * Count));
  const double Scale = 1 + Square / Count;
  return {(Centre - Width) / Scale, (Centre + Width) / Scale};
}

share sumOf(const std::vector<share> &Groups) {
  share Sum;
  for (const auto &Group : Groups) {
    Sum.Bad += Group.Bad;
    Sum.All += Group.All;
  }
  return Sum;
}

/// Sums the groups without the worst ones.
share trimmedSum(std::vector<share> Groups) {
  std::sort(Groups.begin(), Groups.end(), [](const auto &L, const auto &R) {
    return L.Bad * R.All < R.Bad * L.All;
  });
  if (Groups.size() > 1) {
    const auto Trimmed = static_cast<std::size_t>(
        std::ceil(TrimmedShare * static_cast<double>(Groups.size())));
    Groups.resize(Groups.size() - Trimmed);
  }
  return sumOf(Groups);
}

/// True if the groups of the new version are worse than the replaced one, and
/// not only some of them.
bool isWorse(const std::vector<share> &Target, const share &Replaced,
             double Margin, double Deviations) {
  const double Usual = confidence(Replaced, VerdictDeviations).High + Margin;
  const auto All = sumOf(Target);
  if (All.Bad < MinBadAnswers || confidence(All, Deviations).Low <= Usual) {
    return false;
  }
  const auto Trimmed = trimmedSum(Target);
  return Trimmed.Bad >= MinTrimmedBadAnswers &&
         static_cast<double>(Trimmed.Bad) >
             Usual * static_cast<double>(Trimmed.All);
}

/// Class of response times from which on an answer is slow.
std::size_t slowClass(const answer_counts &Replaced) {
  const double Wanted = UsualQuantile * static_cast<double>(Replaced.timed());
  double Sum = 0;
  std::size_t Class = 0;
  for (; Class < Replaced.Durations.size(); ++Class) {
    Sum += static_cast<double>(Replaced.Durations[Class]);
    if (Sum >= Wanted) {
      break;
    }
  }
  return Class + SlowClassDistance;
}

/// What one route says.
struct route_judgement {
  version_verdict Verdict = version_verdict::Undecided;
  bool Suspicious = false;
  /// Why the version is bad or suspicious, or empty.
  std::string Fault;
};

route_judgement judgeRoute(const route_evidence &Evidence) {
  const auto &Old = Evidence.Replaced;
  const auto Slow = slowClass(Old);
  std::vector<share> Failures;
  std::vector<share> SlowAnswers;
  for (const auto &[Group, Answers] : Evidence.Target) {
    Failures.push_back({Answers.Failures, Answers.Answers});
    SlowAnswers.push_back({Answers.timedFrom(Slow), Answers.timed()});
  }
  const share OldFailures{Old.Failures, Old.Answers};
  const share OldSlow{Old.timedFrom(Slow), Old.timed()};
  const auto Describe = [](std::string_view What, const share &New,
                           const share &Former) {
    return fmt::format("{} {} of {}, before {} of {}", What, New.Bad, New.All,
                       Former.Bad, Former.All);
  };
  route_judgement Judgement;
  const auto IsWorse = [&](double Deviations) {
    if (isWorse(Failures, OldFailures, FailureMargin, Deviations)) {
      Judgement.Fault = Describe("failures", sumOf(Failures), OldFailures);
      return true;
    }
    if (OldSlow.All != 0 &&
        isWorse(SlowAnswers, OldSlow, SlowMargin, Deviations)) {
      Judgement.Fault = Describe("slow answers", sumOf(SlowAnswers), OldSlow);
      return true;
    }
    return false;
  };
  if (IsWorse(VerdictDeviations)) {
    Judgement.Verdict = version_verdict::Bad;
  } else {
    Judgement.Suspicious = IsWorse(SuspicionDeviations);
  }
  return Judgement;
}

std::uint64_t targetAnswers(const route_evidence &Evidence) {
  std::uint64_t Sum = 0;
  for (const auto &[Group, Answers] : Evidence.Target) {
    Sum += Answers.Answers;
  }
  return Sum;
}

/// Response times that are left without the worst upstreams.
std::uint64_t comparedTimes(const route_evidence &Evidence) {
  std::vector<share> Groups;
  for (const auto &[Group, Answers] : Evidence.Target) {
    Groups.push_back({0, Answers.timed()});
  }
  return trimmedSum(std::move(Groups)).All;
}

} // namespace

version_judgement judgeVersion(const version_evidence &Evidence) {
  version_judgement Judgement;
  std::uint64_t ReplacedAnswers = 0;
  for (const auto &[Route, Counts] : Evidence) {
    ReplacedAnswers += Counts.Replaced.Answers;
    Judgement.TargetAnswers += targetAnswers(Counts);
  }
  bool Enough = Judgement.TargetAnswers >= MinAnswersPerRoute;
  for (const auto &[Route, Counts] : Evidence) {
    const auto OnRoute = judgeRoute(Counts);
    if (!OnRoute.Fault.empty()) {
      Judgement.Reason = fmt::format("route {}: {}", Route, OnRoute.Fault);
    }
    if (OnRoute.Verdict == version_verdict::Bad) {
      Judgement.Verdict = version_verdict::Bad;
      return Judgement;
    }
    Judgement.Suspicious = Judgement.Suspicious || OnRoute.Suspicious;
    const bool IsBusy = static_cast<double>(Counts.Replaced.Answers) >=
                        BusyRouteShare * static_cast<double>(ReplacedAnswers);
    Enough = Enough && (!IsBusy || comparedTimes(Counts) >= MinAnswersPerRoute);
  }
  if (!Judgement.Suspicious) {
    Judgement.Reason = fmt::format("{} answers", Judgement.TargetAnswers);
  }
  if (Enough) {
    Judgement.Verdict = version_verdict::Good;
  }
  return Judgement;
}

} // namespace arbutus::rollout
