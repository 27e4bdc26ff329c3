#include "control/pool_host.h"

#include "base/json_reader.h"
#include "base/log.h"
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutus::control {

namespace {

/// Period of the timer that runs all grantors; limits grow and grants are
/// resent at this rate.
constexpr auto RunInterval = std::chrono::milliseconds(20);
/// Time between two load polls of the same upstream.
constexpr auto PollInterval = std::chrono::milliseconds(500);
constexpr duration PollTimeout = 400ms;
/// Larger than any load report; bounds the memory that a faulty server can use.
constexpr std::size_t MaxLoadReportBytes = std::size_t{64} << 10U;

} // namespace

pool_host::pool_host(asio::io_context &Io, node_id Self, send_function Send)
    : Io(Io), Client(Io), RunTimer(Io), PollTimer(Io), Self(Self),
      Send(std::move(Send)) {
  armTimer();
  pollLoads();
}

void pool_host::configure(
    const std::shared_ptr<const store::config_view> &NewView,
    incarnation Incarnation) {
  View = NewView;
  const instant Now = monotonic_clock::now();
  std::map<pool_id, std::unique_ptr<hosted_pool>> Next;
  for (const auto &Service : View->services()) {
    if (Service.Grantor != Self || number(Service.Epoch) == 0 ||
        Service.GrantorIncarnation != Incarnation) {
      continue;
    }
    auto It = Pools.find(Service.Pool);
    if (It != Pools.end() &&
        It->second->Grantor.currentEpoch() == Service.Epoch) {
      Next[Service.Pool] = std::move(It->second);
    } else {
      Next[Service.Pool] =
          std::make_unique<hosted_pool>(Service.Pool, Service.Epoch, Now);
      logEvent(log_level::Info, "grantor_started",
               {{"pool", Service.Name}, {"epoch", number(Service.Epoch)}});
    }
    configureGrantor(*Next[Service.Pool], Service);
  }
  Pools = std::move(Next);
  scheduleRun();
}

void pool_host::setNodes(const std::vector<membership::live_node> &Nodes) {
  RouterSessions.clear();
  for (const auto &Node : Nodes) {
    if (Node.Info.IsRouter) {
      RouterSessions.push_back({Node.Info.Node, Node.Incarnation,
                                Node.Suspected ? pool::session_state::Suspected
                                               : pool::session_state::Live});
    }
  }
  const instant Now = monotonic_clock::now();
  for (auto &[Id, Pool] : Pools) {
    Pool->Grantor.setRouterSessions(RouterSessions, Now);
    Pool->HasRouterSessions = true;
  }
  scheduleRun();
}

void pool_host::onReport(node_id From, incarnation Incarnation, pool_id Pool,
                         const pool::pool_report &Report) {
  const auto It = Pools.find(Pool);
  if (It != Pools.end()) {
    It->second->Grantor.onReport(From, Incarnation, Report,
                                 monotonic_clock::now());
    scheduleRun();
  }
}

void pool_host::configureGrantor(hosted_pool &Pool,
                                 const store::service_entry &Service) {
  const instant Now = monotonic_clock::now();
  std::vector<pool::upstream_config> Upstreams;
  for (const auto &Member : Service.Members) {
    pool::upstream_config Config;
    Config.Upstream = Member.Id;
    Config.MaxLimit = Member.MaxLimit;
    Config.FirstLimit = Member.FirstLimit;
    Config.GrowthPerSecond = Member.Growth;
    Config.WarmRequests = Member.WarmRequests;
    Config.Usable = Member.Usable;
    Config.FailureDomain = Member.FailureDomain;
    Upstreams.push_back(std::move(Config));
  }
  std::vector<std::pair<team_id, double>> Weights;
  for (const auto &Team : View->teams()) {
    if (Team.mayUse(Service.Name)) {
      Weights.emplace_back(Team.Id, Team.Spec->Weight);
    }
  }
  Pool.Grantor.setUpstreams(Upstreams, Now);
  Pool.Grantor.setTeamWeights(Weights);
  if (!Pool.HasRouterSessions && !RouterSessions.empty()) {
    Pool.Grantor.setRouterSessions(RouterSessions, Now);
    Pool.HasRouterSessions = true;
  }
}

void pool_host::scheduleRun() {
  if (RunScheduled) {
    return;
  }
  RunScheduled = true;
  asio::post(Io, [this] {
    RunScheduled = false;
    run();
  });
}

void pool_host::run() {
  const instant Now = monotonic_clock::now();
  for (auto &[Id, Pool] : Pools) {
    // Which routers may hold slots is unknown until their sessions are set.
    if (!Pool->HasRouterSessions) {
      continue;
    }
    auto Result = Pool->Grantor.run(Now);
    for (const auto &[Node, Grant] : Result.Grants) {
      Send(Node, Id, Grant);
    }
    logDecisions(Id, Result.Decisions);
  }
}

void pool_host::armTimer() {
  RunTimer.expires_after(RunInterval);
  RunTimer.async_wait([this](const asio::error_code &Error) {
    if (!Error) {
      run();
      armTimer();
    }
  });
}

void pool_host::pollLoads() {
  PollTimer.expires_after(PollInterval);
  PollTimer.async_wait([this](const asio::error_code &Error) {
    if (Error) {
      return;
    }
    for (const auto &[Id, Pool] : Pools) {
      const auto *Service = View->serviceByPool(Id);
      if (Service == nullptr) {
        continue;
      }
      for (const auto &Member : Service->Members) {
        pollLoad(Id, Member.Id, Member.Address);
      }
    }
    pollLoads();
  });
}

void pool_host::pollLoad(pool_id Pool, upstream_id Upstream,
                         std::string_view Address) {
  const instant SentAt = monotonic_clock::now();
  const auto Body = std::make_shared<std::string>();
  const auto Status = std::make_shared<int>(0);
  net::http_call Call;
  Call.Method = "GET";
  Call.Url = "http://" + std::string(Address) + "/load";
  Call.Timeout = PollTimeout;
  Call.MaxBodyBytes = MaxLoadReportBytes;
  Call.OnHeaders = [Status](int Code, const net::http_headers &) {
    *Status = Code;
  };
  Call.OnBody = [Body](std::string_view Bytes) { *Body += Bytes; };
  Call.OnDone = [this, Pool, Upstream, Body, Status,
                 SentAt](net::call_outcome Outcome) {
    if (Outcome == net::call_outcome::Complete && *Status == 200) {
      onLoad(Pool, Upstream, *Body, SentAt);
    }
  };
  Client.start(std::move(Call));
}

void pool_host::onLoad(pool_id Pool, upstream_id Upstream,
                       const std::string &Body, instant SentAt) {
  const auto It = Pools.find(Pool);
  const auto Json = parseJson(Body);
  if (It == Pools.end() || !Json.is_object()) {
    return;
  }
  const auto Field = [&Json](const char *Name) -> std::uint64_t {
    const auto Value = Json.find(Name);
    return Value != Json.end() && Value->is_number_unsigned()
               ? Value->get<std::uint64_t>()
               : 0;
  };
  const instant Now = monotonic_clock::now();
  pool::upstream_load_report Report;
  Report.Incarnation = incarnation{Field("incarnation")};
  Report.Running = static_cast<std::uint32_t>(Field("running"));
  Report.Waiting = static_cast<std::uint32_t>(Field("waiting"));
  // The age of the values is the reported lag plus the duration of the call.
  Report.MeasuredBy = Now;
  Report.MaxAge = std::chrono::milliseconds(Field("lag_ms")) + (Now - SentAt);
  It->second->Grantor.onLoadReport(Upstream, Report, Now);
}

void pool_host::logDecisions(pool_id Pool,
                             const pool::grantor_decisions &Decisions) {
  const auto *Service = View->serviceByPool(Pool);
  const std::string_view Name = Service != nullptr ? Service->Name : "";
  for (const auto &Granted : Decisions.Grants) {
    const auto *Team = Granted.Team ? View->teamById(*Granted.Team) : nullptr;
    logEvent(log_level::Info, "grant",
             {{"pool", Name},
              {"reason", nameOf(Granted.Reason)},
              {"team", Team != nullptr ? Team->Name : "-"},
              {"upstream", upstreamName(Pool, Granted.Upstream)},
              {"router", number(Granted.Node)},
              {"count", Granted.Count}});
  }
  for (const auto &Limit : Decisions.LimitChanges) {
    logEvent(log_level::Info, "limit",
             {{"pool", Name},
              {"upstream", upstreamName(Pool, Limit.Upstream)},
              {"before", Limit.OldLimit},
              {"after", Limit.NewLimit},
              {"cause", nameOf(Limit.Cause)}});
  }
  for (const auto &Breaker : Decisions.BreakerChanges) {
    logEvent(log_level::Warning, "circuit_breaker",
             {{"pool", Name},
              {"upstream", upstreamName(Pool, Breaker.Upstream)},
              {"state", nameOf(Breaker.State)}});
  }
  if (Decisions.Contended) {
    logEvent(log_level::Info, "contended",
             {{"pool", Name}, {"contended", *Decisions.Contended}});
  }
}

std::string_view pool_host::upstreamName(pool_id Pool,
                                         upstream_id Upstream) const {
  if (const auto *Service = View->serviceByPool(Pool)) {
    for (const auto &Member : Service->Members) {
      if (Member.Id == Upstream) {
        return Member.Name;
      }
    }
  }
  return "-";
}

} // namespace arbutus::control
