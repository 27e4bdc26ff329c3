#include "rollout/version_monitor.h"

#include "base/log.h"

#include <random>
#include <set>

namespace arbutus::rollout {

namespace {

/// An upstream is slow for some seconds after its start, whatever its version;
/// its response times do not count until then.
constexpr duration WarmUpTime = 3s;
/// Routes that a report has by name; those beyond are counted together.
constexpr std::size_t MaxRoutes = 32;
constexpr const char *OtherRoutes = "(others)";

} // namespace

version_monitor::version_monitor()
    : Process((std::uint64_t{std::random_device{}()} << 32U) |
              std::random_device{}()) {}

void version_monitor::setView(const store::traffic_view &Traffic, instant Now) {
  const std::lock_guard Lock(Mutex);
  std::set<std::string_view> Known;
  for (const auto &[Service, Rollout] : Traffic.rollouts()) {
    if (!Rollout->isRunning()) {
      continue;
    }
    Known.insert(Service);
    auto &Observed = Rollouts[std::string(Service)];
    if (Observed.StartedMs != Rollout->StartedMs) {
      Observed = {};
      Observed.StartedMs = Rollout->StartedMs;
      Observed.Target = Rollout->Target;
    }
    learnUpstreams(Observed, Service, Traffic, Now);
  }
  std::erase_if(Rollouts,
                [&](const auto &Row) { return !Known.contains(Row.first); });
  Active = !Rollouts.empty();
}

void version_monitor::learnUpstreams(observed_rollout &Rollout,
                                     std::string_view Service,
                                     const store::traffic_view &Traffic,
                                     instant Now) {
  const auto Pools = Traffic.pools(Service);
  const auto Target = Pools.Canary.empty() ? Pools.Main : Pools.Canary;
  for (const auto &Entry : Traffic.instances(Target)) {
    Rollout.KnownSince.try_emplace(Entry.Id, Now);
    Rollout.IsCold[Entry.Id] = Entry.Spec->Cold;
  }
}

void version_monitor::onSent(std::string_view Service,
                             const std::string &Version) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Running.find(Service);
  auto &Counts =
      Found == Running.end() ? Running[std::string(Service)] : Found->second;
  ++Counts[Version];
}

void version_monitor::onEnded(std::string_view Service,
                              const std::string &Version) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Running.find(Service);
  if (Found == Running.end() || Found->second[Version] == 0) {
    logEvent(log_level::Error, "running_requests_miscounted",
             {{"service", Service}, {"version", Version}});
    return;
  }
  if (--Found->second[Version] == 0) {
    Found->second.erase(Version);
  }
}

void version_monitor::onObserved(std::string_view Service,
                                 const std::string &Route,
                                 const std::string &Version,
                                 upstream_id Upstream,
                                 const attempt_observation &Observed,
                                 instant Now) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Rollouts.find(Service);
  if (Found == Rollouts.end()) {
    return;
  }
  auto &Rollout = Found->second;
  const bool HasRoom =
      Rollout.Evidence.size() < MaxRoutes || Rollout.Evidence.contains(Route);
  auto &Evidence = Rollout.Evidence[HasRoom ? Route : OtherRoutes];
  const bool IsTarget = Version == Rollout.Target;
  auto &Counts = IsTarget ? Evidence.Target[number(Upstream) % UpstreamGroups]
                          : Evidence.Replaced;
  Counts.Answers += Observed.Answered ? 1 : 0;
  Counts.Failures += Observed.Failed ? 1 : 0;
  if (!Observed.Time) {
    return;
  }
  const auto Since = Rollout.KnownSince.find(Upstream);
  const bool Starting = IsTarget && (Since == Rollout.KnownSince.end() ||
                                     Now - Since->second < WarmUpTime ||
                                     Rollout.IsCold[Upstream]);
  if (!Starting) {
    Counts.addDuration(*Observed.Time);
  }
}

std::vector<rollout_report> version_monitor::reports() const {
  const std::lock_guard Lock(Mutex);
  std::vector<rollout_report> Reports;
  for (const auto &[Service, Rollout] : Rollouts) {
    rollout_report Report;
    Report.Process = Process;
    Report.Service = Service;
    Report.StartedMs = Rollout.StartedMs;
    Report.Evidence = Rollout.Evidence;
    if (const auto Found = Running.find(Service); Found != Running.end()) {
      for (const auto &[Version, Count] : Found->second) {
        Report.RunningOnReplaced += Version == Rollout.Target ? 0 : Count;
      }
    }
    Reports.push_back(std::move(Report));
  }
  return Reports;
}

} // namespace arbutus::rollout
