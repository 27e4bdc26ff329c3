#include "traffic/slot_host.h"

#include "base/log.h"
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace arbutus::traffic {

using balance::cell_key;
using balance::upstream_result;

namespace {

/// Microseconds after which a request that is refused now would no longer
/// exceed its dispatch deadline.
std::int64_t retryAfter(const balance::request_scheduler &Scheduler,
                        const balance::queued_request &Request, instant Now) {
  const duration Wait = Scheduler.expectedWait(Request.Team, Now);
  const duration Limit = Scheduler.dispatchDeadline(Request, Now) - Now;
  return toMicros(std::max(duration::zero(), Wait - Limit));
}

/// Shows how a contended cell was divided between the teams.
void logUsage(const cell_key &Key, cell_usage &Usage, instant Now) {
  for (const auto &[Team, Used] : Usage.endInterval(Now)) {
    logEvent(log_level::Info, "cell_usage",
             {{"service", Key.Service},
              {"cell", Key.Index},
              {"team", Team},
              {"asked_cost", std::llround(Used.AskedCost)},
              {"sent_cost", std::llround(Used.SentCost)},
              {"sent", Used.SentRequests},
              {"refused", Used.Refused},
              {"expired", Used.Expired}});
  }
}

std::optional<double> optionalRateLimit(double PerSecond) {
  return PerSecond >= 0 ? std::optional(PerSecond) : std::nullopt;
}

void logRateLimit(std::uint32_t Upstream, double PerSecond) {
  logEvent(
      log_level::Info, "rate_limit",
      {{"upstream_id", Upstream},
       {"per_second", PerSecond >= 0 ? fmt::format("{}", PerSecond) : "none"}});
}

} // namespace

void slot_host::setOwnedCells(const std::vector<balance::cell> &List,
                              instant Now) {
  std::map<cell_key, std::unique_ptr<hosted_cell>> Next;
  for (const auto &Cell : List) {
    auto Existing = Cells.extract(Cell.Key);
    if (Existing.empty()) {
      logEvent(log_level::Info, "cell_taken",
               {{"service", Cell.Key.Service},
                {"cell", Cell.Key.Index},
                {"upstreams", Cell.Upstreams.size()}});
    }
    auto Hosted = Existing.empty() ? std::make_unique<hosted_cell>(Seed)
                                   : std::move(Existing.mapped());
    Hosted->Scheduler.setUpstreams(Cell.Upstreams, Now);
    Next.emplace(Cell.Key, std::move(Hosted));
  }
  for (const auto &[Key, Hosted] : Cells) {
    logEvent(log_level::Info, "cell_given_up",
             {{"service", Key.Service}, {"cell", Key.Index}});
    for (const auto &[Id, Request] : Hosted->RequestById) {
      if (Hosted->Scheduler.cancel(Id)) {
        reply(*Hosted, {Request.Remote.second, slot_decision::NotOwner},
              Request.Remote.first);
      }
    }
  }
  Cells = std::move(Next);
}

void slot_host::releaseDepartedRouters(const std::set<node_id> &Live,
                                       instant Now) {
  for (auto &[Key, Cell] : Cells) {
    std::set<node_id> Departed;
    for (const auto &[Remote, Id] : Cell->IdByRemote) {
      if (!Live.contains(Remote.first)) {
        Departed.insert(Remote.first);
      }
    }
    for (const node_id Node : Departed) {
      releaseUnlisted(*Cell, Node, {}, Now);
    }
  }
}

void slot_host::onRequest(node_id From, const slot_request_message &Request,
                          instant Now) {
  const auto Found = Cells.find({Request.Service, Request.Cell});
  if (Found == Cells.end()) {
    Send(From, {Request.RequestNumber, slot_decision::NotOwner});
    return;
  }
  auto &Cell = *Found->second;
  balance::queued_request Queued;
  Queued.RequestId = getOrAssignId(Cell, {From, Request.RequestNumber});
  Queued.Team = getOrAssignTeamId(Request.Team);
  Queued.Cost = Request.Cost;
  Queued.Prompt = Request.Prompt;
  for (const auto Upstream : Request.Excluded) {
    Queued.Excluded.push_back(upstream_id{Upstream});
  }
  Queued.DispatchDeadline = Now + duration(Request.DispatchTimeoutUs);
  if (Request.ResponseTargetUs != 0) {
    Queued.ResponseTarget = Now + duration(Request.ResponseTargetUs);
  }
  auto &Hosted = Cell.RequestById.at(Queued.RequestId);
  Hosted.Team = Request.Team;
  Hosted.Cost = Request.Cost;
  Cell.Usage.recordAsked(Request.Team, Request.Cost);
  if (!Cell.Scheduler.canServeInTime(Queued, Now)) {
    refuseOnArrival(Cell, Queued, Now);
    return;
  }
  const auto Upstream = Cell.Scheduler.enqueue(std::move(Queued), Now);
  if (Upstream) {
    Cell.Usage.recordSent(Request.Team, Request.Cost);
  }
  reply(Cell,
        {Request.RequestNumber,
         Upstream ? slot_decision::Granted : slot_decision::Queued,
         Upstream ? number(*Upstream) : 0},
        From);
}

void slot_host::refuseOnArrival(hosted_cell &Cell,
                                const balance::queued_request &Request,
                                instant Now) {
  const auto Hosted = Cell.RequestById.at(Request.RequestId);
  Cell.Usage.recordRefused(Hosted.Team);
  eraseRequest(Cell, Request.RequestId);
  slot_reply_message Reply{Hosted.Remote.second, slot_decision::Refused};
  Reply.Reason = refusal_reason::QueueFull;
  Reply.RetryAfterUs = retryAfter(Cell.Scheduler, Request, Now);
  reply(Cell, Reply, Hosted.Remote.first);
}

void slot_host::onEvents(node_id From, const slot_events_message &Message,
                         instant Now) {
  const auto Found = Cells.find({Message.Service, Message.Cell});
  if (Found == Cells.end()) {
    return;
  }
  auto &Cell = *Found->second;
  for (const auto &Event : Message.Events) {
    applyEvent(Cell, From, Event, Now);
  }
  if (Message.FullSnapshot) {
    mergeRateLimits(Cell, Message, Now);
    releaseUnlisted(Cell, From, Message.Events, Now);
  }
  dispatchCell(Cell, Now);
}

void slot_host::dispatchAll(instant Now) {
  for (auto &[Key, Cell] : Cells) {
    dispatchCell(*Cell, Now);
    logUsage(Key, Cell->Usage, Now);
  }
}

std::size_t slot_host::waitingCount() const noexcept {
  std::size_t Sum = 0;
  for (const auto &[Key, Cell] : Cells) {
    Sum += Cell->Scheduler.waitingCount();
  }
  return Sum;
}

void slot_host::reply(const hosted_cell &Cell, slot_reply_message Reply,
                      node_id To) {
  Reply.BusyShare = Cell.Scheduler.busyShare();
  Send(To, Reply);
}

void slot_host::applyEvent(hosted_cell &Cell, node_id From,
                           const slot_event &Event, instant Now) {
  const remote_request Key{From, Event.RequestNumber};
  const auto Existing = Cell.IdByRemote.find(Key);
  if (Event.Kind == slot_event_kind::InUse) {
    if (Existing == Cell.IdByRemote.end()) {
      Cell.Scheduler.restoreInFlight(getOrAssignId(Cell, Key),
                                     upstream_id{Event.Upstream});
    }
    return;
  }
  if (Existing == Cell.IdByRemote.end()) {
    return;
  }
  const std::uint64_t Id = Existing->second;
  recordRateLimit(Cell, Id, Event, Now);
  if (Event.Kind == slot_event_kind::FirstByte) {
    Cell.Scheduler.onFirstByte(Id, Now);
    return;
  }
  if (!Cell.Scheduler.cancel(Id)) {
    Cell.Scheduler.complete(Id, Event.Result, Now);
  }
  eraseRequest(Cell, Id);
}

void slot_host::recordRateLimit(hosted_cell &Cell, std::uint64_t Id,
                                const slot_event &Event, instant Now) {
  if (Event.RateLimit == UnknownRateLimit) {
    return;
  }
  if (Cell.Scheduler.recordRateLimit(Id, optionalRateLimit(Event.RateLimit),
                                     Now)) {
    logRateLimit(Event.Upstream, Event.RateLimit);
  }
}

void slot_host::mergeRateLimits(hosted_cell &Cell,
                                const slot_events_message &Message,
                                instant Now) {
  for (const auto &Named : Message.RateLimits) {
    if (Cell.Scheduler.mergeRateLimit(upstream_id{Named.Upstream},
                                      optionalRateLimit(Named.PerSecond),
                                      Now - duration(Named.AgeUs), Now)) {
      logRateLimit(Named.Upstream, Named.PerSecond);
    }
  }
}

void slot_host::releaseUnlisted(hosted_cell &Cell, node_id From,
                                const std::vector<slot_event> &InUseEvents,
                                instant Now) {
  std::set<std::uint64_t> Listed;
  for (const auto &Event : InUseEvents) {
    Listed.insert(Event.RequestNumber);
  }
  std::vector<std::uint64_t> Unlisted;
  for (auto It = Cell.IdByRemote.lower_bound({From, 0});
       It != Cell.IdByRemote.end() && It->first.first == From; ++It) {
    if (!Listed.contains(It->first.second)) {
      Unlisted.push_back(It->second);
    }
  }
  for (const auto Id : Unlisted) {
    if (!Cell.Scheduler.cancel(Id)) {
      Cell.Scheduler.complete(Id, upstream_result::Ignored, Now);
    }
    eraseRequest(Cell, Id);
  }
}

std::uint64_t slot_host::getOrAssignId(hosted_cell &Cell,
                                       const remote_request &Key) {
  const auto [Found, Inserted] = Cell.IdByRemote.try_emplace(Key, 0);
  if (Inserted) {
    Found->second = ++LastId;
    Cell.RequestById.emplace(LastId, hosted_request{Key, {}, 0});
  }
  return Found->second;
}

void slot_host::eraseRequest(hosted_cell &Cell, std::uint64_t Id) {
  const auto Request = Cell.RequestById.extract(Id);
  if (!Request.empty()) {
    Cell.IdByRemote.erase(Request.mapped().Remote);
  }
}

void slot_host::dispatchCell(hosted_cell &Cell, instant Now) {
  for (const auto &Expired : Cell.Scheduler.expireWaiting(Now)) {
    const auto Request = Cell.RequestById.at(Expired.RequestId);
    Cell.Usage.recordExpired(Request.Team);
    eraseRequest(Cell, Expired.RequestId);
    slot_reply_message Reply{Request.Remote.second, slot_decision::Refused};
    Reply.Reason = refusal_reason::Expired;
    Reply.Preferred = number(Expired.Preferred);
    reply(Cell, Reply, Request.Remote.first);
  }
  for (const auto &Ready : Cell.Scheduler.dispatchReady(Now)) {
    const auto &Request = Cell.RequestById.at(Ready.RequestId);
    Cell.Usage.recordSent(Request.Team, Request.Cost);
    reply(
        Cell,
        {Request.Remote.second, slot_decision::Granted, number(Ready.Upstream)},
        Request.Remote.first);
  }
}

team_id slot_host::getOrAssignTeamId(const std::string &Team) {
  const auto Next = static_cast<std::uint32_t>(Teams.size() + 1);
  return Teams.try_emplace(Team, team_id{Next}).first->second;
}

} // namespace arbutus::traffic
