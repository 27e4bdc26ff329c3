#include "traffic/upstream_selection.h"

#include "base/log.h"
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace arbutus::traffic {

namespace {

/// The instance with this name, or null.
const store::instance_entry *
findByName(const std::vector<store::instance_entry> &List,
           std::string_view Name) {
  const auto Found = std::lower_bound(
      List.begin(), List.end(), Name,
      [](const auto &Entry, auto Wanted) { return Entry.Name < Wanted; });
  return Found != List.end() && Found->Name == Name ? &*Found : nullptr;
}

/// Lifts the restrictions of upstreams that have been restarted.
void refreshRestrictions(traffic_shard &Shard,
                         std::shared_ptr<const store::config_view> View) {
  if (Shard.RestrictionsView == View) {
    return;
  }
  const auto &Traffic = View->traffic();
  const auto Pools = Traffic.poolNames();
  Shard.Restrictions.applyList([&](std::string_view Name) {
    return std::any_of(Pools.begin(), Pools.end(), [&](auto Pool) {
      const auto *Entry = findByName(Traffic.instances(Pool), Name);
      return Entry != nullptr &&
             Entry->Spec->State == store::upstream_state::In;
    });
  });
  Shard.RestrictionsView = std::move(View);
}

} // namespace

std::shared_ptr<const store::config_view>
currentView(const traffic_shard &Shard) {
  return Shard.Context.Routing.read(
      [](const router::routing_state &State) { return State.View; });
}

const store::instance_entry *findInstance(const store::traffic_view &Traffic,
                                          std::string_view Pool,
                                          upstream_id Upstream) {
  const auto &List = Traffic.instances(Pool);
  const auto It =
      std::find_if(List.begin(), List.end(),
                   [&](const auto &Entry) { return Entry.Id == Upstream; });
  return It == List.end() ? nullptr : &*It;
}

bool isSendable(const traffic_shard &Shard,
                const store::instance_entry &Instance, instant Now) {
  return Instance.Usable && !Shard.Restrictions.isRestricted(
                                {Instance.Name, Instance.Spec->StartedMs}, Now);
}

excluded_upstreams excludedUpstreams(const traffic_request &Request,
                                     instant Now) {
  excluded_upstreams Excluded{Request.Excluded};
  const auto &Restrictions = Request.Shard.Restrictions;
  if (Restrictions.size() == 0) {
    return Excluded;
  }
  const auto View = currentView(Request.Shard);
  refreshRestrictions(Request.Shard, View);
  const auto &List = View->traffic().instances(Request.Pool);
  Restrictions.visit(Now, [&](const upstream_run &Restricted, instant Until) {
    const auto *Found = findByName(List, Restricted.Name);
    if (Found != nullptr && Found->Spec->StartedMs == Restricted.StartedMs) {
      Excluded.Ids.push_back(Found->Id);
      Excluded.FirstUsable = std::min(Excluded.FirstUsable, Until);
    }
  });
  return Excluded;
}

void recordRestrictions(const traffic_request &Request, instant Now) {
  const auto &Attempt = Request.Attempt;
  const auto &Info = Attempt.ResponseInfo;
  auto &Restrictions = Request.Shard.Restrictions;
  if (Info.RetryAfter) {
    Restrictions.pause(upstreamRunOf(Attempt), Now + *Info.RetryAfter, Now);
    logEvent(log_level::Info, "upstream_paused",
             {{"upstream", Attempt.Instance},
              {"request", Request.Caller.Id},
              {"pause_us", toMicros(*Info.RetryAfter)}});
  }
  if (Info.Leaving && Restrictions.markLeaving(upstreamRunOf(Attempt), Now)) {
    logEvent(log_level::Info, "upstream_leaving",
             {{"upstream", Attempt.Instance},
              {"request", Request.Caller.Id},
              {"status", Attempt.Status}});
  }
}

void recordRateLimit(const traffic_request &Request) {
  const auto &Attempt = Request.Attempt;
  const auto &Info = Attempt.ResponseInfo;
  if (!Info.Identified || Info.Misdirected) {
    return; // possibly the response of another upstream
  }
  if (Request.Shard.Slots.onRateLimit(Request.Id, Info.RateLimit,
                                      Attempt.SentAt)) {
    logEvent(log_level::Info, "upstream_rate_limit",
             {{"upstream", Attempt.Instance},
              {"request", Request.Caller.Id},
              {"per_second",
               Info.RateLimit ? fmt::format("{}", *Info.RateLimit) : "none"}});
  }
}

} // namespace arbutus::traffic
