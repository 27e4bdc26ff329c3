#include "traffic/traffic_pools.h"

#include <algorithm>
#include <utility>

namespace arbutus::traffic {

namespace {

/// Time between two looks at waiting requests without an event: pauses of
/// upstreams end and deadlines pass.
constexpr auto CheckInterval = std::chrono::milliseconds(10);

std::vector<balance::upstream_facts> factsOf(const store::traffic_view &Traffic,
                                             std::string_view Service) {
  const auto *Profile = Traffic.service(Service);
  std::vector<balance::upstream_facts> List;
  for (const auto &Entry : Traffic.instances(Service)) {
    balance::upstream_facts Facts;
    Facts.Id = Entry.Id;
    Facts.Name = Entry.Name;
    Facts.FailureDomain = Entry.Spec->FailureDomain;
    Facts.Slots = std::max(1U, Entry.Spec->Slots);
    Facts.Usable = Entry.Usable;
    Facts.ColdRate = Entry.Spec->Cold && Profile != nullptr
                         ? Profile->ColdRequestsPerSecond
                         : 0;
    Facts.StartedMs = Entry.Spec->StartedMs;
    List.push_back(std::move(Facts));
  }
  return List;
}

std::uint32_t countRouters(const std::vector<membership::live_node> &Nodes) {
  return static_cast<std::uint32_t>(
      std::count_if(Nodes.begin(), Nodes.end(), [](const auto &Node) {
        return Node.Info.Router && !Node.Suspected;
      }));
}

} // namespace

traffic_pools::traffic_pools(asio::io_context &Io, std::uint64_t Seed)
    : Timer(Io), Seed(Seed) {}

void traffic_pools::follow(const router::routing_state &State) {
  if (State.View == View && State.Nodes == Nodes) {
    return;
  }
  View = State.View;
  Nodes = State.Nodes;
  const instant Now = monotonic_clock::now();
  for (const auto Service : View->traffic().serviceNames()) {
    auto &Pool = pool(Service);
    Pool.setRouters(countRouters(*Nodes));
    Pool.setUpstreams(factsOf(View->traffic(), Service), Now);
    release(Pool);
  }
}

std::optional<upstream_id>
traffic_pools::enqueue(std::string_view Service,
                       balance::queued_request Request,
                       waiting_callbacks Callbacks) {
  const std::uint64_t Id = Request.RequestId;
  const auto Upstream =
      pool(Service).enqueue(std::move(Request), monotonic_clock::now());
  if (!Upstream) {
    Waiters.emplace(Id, std::move(Callbacks));
    armTimer();
  }
  return Upstream;
}

bool traffic_pools::cancel(std::string_view Service, std::uint64_t RequestId) {
  return pool(Service).cancel(RequestId) && Waiters.erase(RequestId) != 0;
}

void traffic_pools::onFirstByte(std::string_view Service,
                                std::uint64_t RequestId) {
  auto &Pool = pool(Service);
  Pool.onFirstByte(RequestId);
  release(Pool);
}

void traffic_pools::complete(std::string_view Service, std::uint64_t RequestId,
                             balance::call_health Health) {
  auto &Pool = pool(Service);
  Pool.complete(RequestId, Health, monotonic_clock::now());
  release(Pool);
}

void traffic_pools::onLoad(std::string_view Service, upstream_id Upstream,
                           const balance::reported_load &Load) {
  pool(Service).onLoad(Upstream, Load);
}

bool traffic_pools::anyUsable(std::string_view Service) const {
  const auto Found = Pools.find(Service);
  return Found != Pools.end() && Found->second.anyUsable();
}

team_id traffic_pools::teamNumber(std::string_view Team) {
  const auto Found = Teams.find(Team);
  if (Found != Teams.end()) {
    return Found->second;
  }
  const team_id Number{static_cast<std::uint32_t>(Teams.size() + 1)};
  Teams.emplace(std::string(Team), Number);
  return Number;
}

balance::local_pool &traffic_pools::pool(std::string_view Service) {
  const auto Found = Pools.find(Service);
  if (Found != Pools.end()) {
    return Found->second;
  }
  return Pools.emplace(std::string(Service), balance::local_pool(Seed))
      .first->second;
}

void traffic_pools::release(balance::local_pool &Pool) {
  if (Pool.waiting() == 0) {
    return;
  }
  const instant Now = monotonic_clock::now();
  for (const auto Id : Pool.expire(Now)) {
    const auto Waiter = Waiters.extract(Id);
    if (!Waiter.empty()) {
      Waiter.mapped().OnExpired();
    }
  }
  for (const auto &Ready : Pool.takeReady(Now)) {
    const auto Waiter = Waiters.extract(Ready.RequestId);
    if (!Waiter.empty()) {
      Waiter.mapped().OnDispatch(Ready.Upstream);
    }
  }
}

void traffic_pools::armTimer() {
  if (TimerArmed || Waiters.empty()) {
    return;
  }
  TimerArmed = true;
  Timer.expires_after(CheckInterval);
  Timer.async_wait([this](const asio::error_code &Error) {
    TimerArmed = false;
    if (Error) {
      return;
    }
    for (auto &[Name, Pool] : Pools) {
      release(Pool);
    }
    armTimer();
  });
}

} // namespace arbutus::traffic
