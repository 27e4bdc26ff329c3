#include "traffic/slot_host.h"

#include "base/log.h"

#include <algorithm>
#include <set>

namespace arbutus::traffic {

using balance::cell_key;
using balance::upstream_result;

namespace {

/// Time until a request that is refused now would no longer wait too long.
std::int64_t retryAfter(const balance::request_scheduler &Pool,
                        const balance::queued_request &Request, instant Now) {
  const duration Wait = Pool.expectedWait(Request.Team, Now);
  const duration Limit = Pool.dispatchDeadline(Request, Now) - Now;
  return toMicros(std::max(duration::zero(), Wait - Limit));
}

} // namespace

void slot_host::own(const std::vector<balance::cell> &List, instant Now) {
  std::map<cell_key, std::unique_ptr<hosted_cell>> Next;
  for (const auto &Cell : List) {
    auto Known = Cells.extract(Cell.Key);
    if (Known.empty()) {
      logEvent(log_level::Info, "cell_taken",
               {{"service", Cell.Key.Service},
                {"cell", Cell.Key.Index},
                {"upstreams", Cell.Upstreams.size()}});
    }
    auto Host = Known.empty() ? std::make_unique<hosted_cell>(Seed)
                              : std::move(Known.mapped());
    Host->Pool.setUpstreams(Cell.Upstreams, Now);
    Next.emplace(Cell.Key, std::move(Host));
  }
  for (const auto &[Key, Host] : Cells) {
    logEvent(log_level::Info, "cell_given_up",
             {{"service", Key.Service}, {"cell", Key.Index}});
    for (const auto &[Id, Sender] : Host->Senders) {
      if (Host->Pool.cancel(Id)) {
        Send(Sender.first, {Sender.second, slot_decision::NotOwner, 0, 0});
      }
    }
  }
  Cells = std::move(Next);
}

void slot_host::keepSenders(const std::set<node_id> &Live, instant Now) {
  for (auto &[Key, Cell] : Cells) {
    std::set<node_id> Gone;
    for (const auto &[Sender, Id] : Cell->Numbers) {
      if (!Live.contains(Sender.first)) {
        Gone.insert(Sender.first);
      }
    }
    for (const node_id Node : Gone) {
      freeMissing(*Cell, Node, {}, Now);
    }
  }
}

void slot_host::onRequest(node_id From, const slot_request_message &Request,
                          instant Now) {
  const auto Found = Cells.find({Request.Service, Request.Cell});
  if (Found == Cells.end()) {
    Send(From, {Request.Number, slot_decision::NotOwner, 0, 0});
    return;
  }
  auto &Cell = *Found->second;
  balance::queued_request Queued;
  Queued.RequestId = numberOf(Cell, {From, Request.Number});
  Queued.Team = teamNumber(Request.Team);
  Queued.Cost = Request.Cost;
  Queued.Prompt = Request.Prompt;
  for (const auto Upstream : Request.Excluded) {
    Queued.Excluded.push_back(upstream_id{Upstream});
  }
  Queued.DispatchDeadline = Now + duration(Request.SendWithin);
  if (Request.AnswerWithin != 0) {
    Queued.ResponseTarget = Now + duration(Request.AnswerWithin);
  }
  if (!Cell.Pool.canServeInTime(Queued, Now)) {
    forget(Cell, Queued.RequestId);
    Send(From, {Request.Number, slot_decision::Refused, 0,
                retryAfter(Cell.Pool, Queued, Now)});
    return;
  }
  const auto Upstream = Cell.Pool.enqueue(std::move(Queued), Now);
  Send(From,
       {Request.Number, Upstream ? slot_decision::Send : slot_decision::Queued,
        Upstream ? number(*Upstream) : 0, 0});
}

void slot_host::onEvents(node_id From, const slot_events_message &Message,
                         instant Now) {
  const auto Found = Cells.find({Message.Service, Message.Cell});
  if (Found == Cells.end()) {
    return;
  }
  auto &Cell = *Found->second;
  for (const auto &Event : Message.Events) {
    apply(Cell, From, Event, Now);
  }
  if (Message.Complete) {
    freeMissing(Cell, From, Message.Events, Now);
  }
  runCell(Cell, Now);
}

void slot_host::run(instant Now) {
  for (auto &[Key, Cell] : Cells) {
    runCell(*Cell, Now);
  }
}

std::size_t slot_host::waiting() const noexcept {
  std::size_t Sum = 0;
  for (const auto &[Key, Cell] : Cells) {
    Sum += Cell->Pool.waiting();
  }
  return Sum;
}

void slot_host::apply(hosted_cell &Cell, node_id From, const slot_event &Event,
                      instant Now) {
  const owner_key Key{From, Event.Number};
  const auto Known = Cell.Numbers.find(Key);
  if (Event.Kind == slot_event_kind::Holds) {
    if (Known == Cell.Numbers.end()) {
      Cell.Pool.restoreInFlight(numberOf(Cell, Key),
                                upstream_id{Event.Upstream});
    }
    return;
  }
  if (Known == Cell.Numbers.end()) {
    return;
  }
  const std::uint64_t Id = Known->second;
  if (Event.Kind == slot_event_kind::FirstByte) {
    Cell.Pool.onFirstByte(Id);
    return;
  }
  if (!Cell.Pool.cancel(Id)) {
    Cell.Pool.complete(Id, Event.Health, Now);
  }
  forget(Cell, Id);
}

void slot_host::freeMissing(hosted_cell &Cell, node_id From,
                            const std::vector<slot_event> &Held, instant Now) {
  std::set<std::uint64_t> Listed;
  for (const auto &Event : Held) {
    Listed.insert(Event.Number);
  }
  std::vector<std::uint64_t> Missing;
  for (auto It = Cell.Numbers.lower_bound({From, 0});
       It != Cell.Numbers.end() && It->first.first == From; ++It) {
    if (!Listed.contains(It->first.second)) {
      Missing.push_back(It->second);
    }
  }
  for (const auto Id : Missing) {
    if (!Cell.Pool.cancel(Id)) {
      Cell.Pool.complete(Id, upstream_result::Ignored, Now);
    }
    forget(Cell, Id);
  }
}

std::uint64_t slot_host::numberOf(hosted_cell &Cell, const owner_key &Key) {
  const auto [Found, New] = Cell.Numbers.try_emplace(Key, 0);
  if (New) {
    Found->second = ++LastId;
    Cell.Senders.emplace(LastId, Key);
  }
  return Found->second;
}

void slot_host::forget(hosted_cell &Cell, std::uint64_t Id) {
  const auto Sender = Cell.Senders.extract(Id);
  if (!Sender.empty()) {
    Cell.Numbers.erase(Sender.mapped());
  }
}

void slot_host::runCell(hosted_cell &Cell, instant Now) {
  for (const auto Id : Cell.Pool.expireWaiting(Now)) {
    const auto Sender = Cell.Senders.at(Id);
    forget(Cell, Id);
    Send(Sender.first, {Sender.second, slot_decision::Refused, 0, 0});
  }
  for (const auto &Ready : Cell.Pool.dispatchReady(Now)) {
    const auto &Sender = Cell.Senders.at(Ready.RequestId);
    Send(Sender.first,
         {Sender.second, slot_decision::Send, number(Ready.Upstream), 0});
  }
}

team_id slot_host::teamNumber(const std::string &Team) {
  const auto Next = static_cast<std::uint32_t>(Teams.size() + 1);
  return Teams.try_emplace(Team, team_id{Next}).first->second;
}

} // namespace arbutus::traffic
