#include "traffic/slot_allocator.h"

#include "base/codec.h"
#include "base/log.h"
#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace arbutus::traffic {

namespace {

using balance::cell_key;
using balance::upstream_result;

/// Time between two looks at waiting requests without an event: pauses of
/// upstreams end and deadlines pass.
constexpr auto CheckInterval = std::chrono::milliseconds(10);
/// Time for an owner's first reply. Beyond it the router decides by itself.
constexpr duration OwnerTimeout = 100ms;
/// Time for which a silent owner is not asked again.
constexpr duration OwnerPause = 1s;
/// Time between two lists of all slots that this router holds.
constexpr duration HoldingsInterval = 500ms;
/// Time beyond its limit that a queued request waits for the owner's refusal.
constexpr duration RefusalSlack = 50ms;

std::vector<balance::upstream_info> factsOf(const store::traffic_view &Traffic,
                                            std::string_view Service) {
  const auto *Profile = Traffic.service(Service);
  std::vector<balance::upstream_info> List;
  for (const auto &Entry : Traffic.instances(Service)) {
    balance::upstream_info Facts;
    Facts.Id = Entry.Id;
    Facts.Name = Entry.Name;
    Facts.FailureDomain = Entry.Spec->FailureDomain;
    Facts.Slots = std::max(1U, Entry.Spec->Slots);
    Facts.Usable = Entry.Usable;
    Facts.StartedMs = Entry.Spec->StartedMs;
    if (Profile != nullptr) {
      Facts.IsModelEngine = Profile->Model;
      Facts.CacheTokens = Profile->CacheTokens;
      Facts.ColdRequestsPerSecond =
          Entry.Spec->Cold ? Profile->ColdRequestsPerSecond : 0;
    }
    List.push_back(std::move(Facts));
  }
  return List;
}

std::set<node_id> liveRouters(const std::vector<membership::live_node> &Nodes) {
  std::set<node_id> Live;
  for (const auto &Node : Nodes) {
    if (!Node.Info.TrafficAddress.empty()) {
      Live.insert(Node.Info.Node);
    }
  }
  return Live;
}

/// What requests have in common that should meet in one cell: all of the
/// prompt but its last part.
std::uint64_t affinityOf(const slot_wish &Wish) {
  return Wish.Prompt.size() < 2 ? Wish.RequestId
                                : Wish.Prompt[Wish.Prompt.size() - 2].Hash;
}

} // namespace

slot_allocator::slot_allocator(
    asio::io_context &Io, const rcu_snapshot<router::routing_state> &Routing,
    node_id Self, std::uint64_t Seed, std::uint64_t FirstNumber,
    send_function Send)
    : Io(Io), Routing(Routing), CheckTimer(Io), HoldingsTimer(Io), Self(Self),
      Seed(Seed), LastNumber(FirstNumber), Send(std::move(Send)),
      Host(Seed, [this](node_id To, const slot_reply_message &Reply) {
        deliver(To, net::message_kind::SlotReply, encode(Reply));
      }) {
  armHoldings();
}

void slot_allocator::follow() {
  const auto State = Routing.read([](const auto &Current) { return Current; });
  if (State.View == View && State.Nodes == Nodes) {
    return;
  }
  View = State.View;
  Nodes = State.Nodes;
  const instant Now = monotonic_clock::now();
  const auto Live = liveRouters(*Nodes);
  Routers = Live.size();
  std::vector<balance::cell> Owned;
  Cells.clear();
  for (const auto Service : View->traffic().serviceNames()) {
    const auto Facts = factsOf(View->traffic(), Service);
    auto &Pool = localPool(std::string(Service));
    Pool.setSchedulerCount(static_cast<std::uint32_t>(Live.size()));
    Pool.setUpstreams(Facts, Now);
    auto &List = Cells[std::string(Service)];
    List = balance::assignCells(Service, Facts, *Nodes);
    for (const auto &Cell : List) {
      if (Cell.Owner == Self) {
        Owned.push_back(Cell);
      }
    }
  }
  Host.own(Owned, Now);
  Host.keepSenders(Live, Now);
  Host.run(Now);
  tellHoldings();
  armCheck();
}

void slot_allocator::onMessage(node_id From, net::message_kind Kind,
                               const std::string &Payload) {
  follow();
  const instant Now = monotonic_clock::now();
  if (Kind == net::message_kind::SlotRequest) {
    if (const auto Request = decode<slot_request_message>(Payload)) {
      Host.onRequest(From, Request.value(), Now);
      armCheck();
    }
  } else if (Kind == net::message_kind::SlotEvents) {
    if (const auto Events = decode<slot_events_message>(Payload)) {
      Host.onEvents(From, Events.value(), Now);
    }
  } else if (Kind == net::message_kind::SlotReply) {
    if (const auto Reply = decode<slot_reply_message>(Payload)) {
      onReply(From, Reply.value());
    }
  }
}

void slot_allocator::request(slot_wish Wish, slot_callbacks Callbacks) {
  const std::uint64_t Number = ++LastNumber;
  NumberOfRequest[Wish.RequestId] = Number;
  auto &Entry = Entries[Number];
  Entry.Wish = std::move(Wish);
  Entry.Callbacks = std::move(Callbacks);
  ++Waiting;
  follow();
  ask(Number, Entry);
  armCheck();
}

void slot_allocator::ask(std::uint64_t Number, entry &Entry) {
  const instant Now = monotonic_clock::now();
  const auto List = Cells.find(Entry.Wish.Service);
  const auto *Cell =
      List == Cells.end()
          ? nullptr
          : balance::chooseCell(List->second, affinityOf(Entry.Wish));
  const auto Pause = Cell == nullptr || !Cell->Owner
                         ? Silent.end()
                         : Silent.find(*Cell->Owner);
  if (Cell == nullptr || !Cell->Owner ||
      (Pause != Silent.end() && Now < Pause->second)) {
    decideLocally(Number, Entry);
    return;
  }
  Entry.State = entry_state::Asked;
  Entry.Cell = Cell->Key;
  Entry.Owner = Cell->Owner;
  Entry.AskedAt = Now;
  slot_request_message Message;
  Message.Number = Number;
  Message.Service = Cell->Key.Service;
  Message.Cell = Cell->Key.Index;
  Message.Team = Entry.Wish.Team;
  Message.Cost = Entry.Wish.Cost;
  Message.Prompt = Entry.Wish.Prompt;
  for (const auto Upstream : Entry.Wish.Excluded) {
    Message.Excluded.push_back(number(Upstream));
  }
  Message.SendWithin = toMicros(Entry.Wish.DispatchDeadline - Now);
  if (Entry.Wish.ResponseTarget != instant::max()) {
    Message.AnswerWithin = toMicros(Entry.Wish.ResponseTarget - Now);
  }
  deliver(*Entry.Owner, net::message_kind::SlotRequest, encode(Message));
}

void slot_allocator::decideLocally(std::uint64_t Number, entry &Entry) {
  Entry.State = entry_state::Local;
  Entry.Owner.reset();
  balance::queued_request Queued;
  Queued.RequestId = Number;
  Queued.Team =
      Teams
          .try_emplace(Entry.Wish.Team,
                       team_id{static_cast<std::uint32_t>(Teams.size() + 1)})
          .first->second;
  Queued.Cost = Entry.Wish.Cost;
  Queued.Prompt = Entry.Wish.Prompt;
  Queued.Excluded = Entry.Wish.Excluded;
  Queued.DispatchDeadline = Entry.Wish.DispatchDeadline;
  Queued.ResponseTarget = Entry.Wish.ResponseTarget;
  const auto Upstream = localPool(Entry.Wish.Service)
                            .enqueue(std::move(Queued), monotonic_clock::now());
  if (Upstream) {
    // The caller of `request` must not be called back from inside it.
    asio::post(Io, [this, Number, Upstream = *Upstream] {
      const auto Found = Entries.find(Number);
      if (Found != Entries.end()) {
        sendNow(Found->second, Upstream);
      }
    });
  }
}

void slot_allocator::onReply(node_id From, const slot_reply_message &Reply) {
  const auto Found = Entries.find(Reply.Number);
  const bool Expected = Found != Entries.end() && Found->second.Owner == From &&
                        (Found->second.State == entry_state::Asked ||
                         Found->second.State == entry_state::Queued);
  if (!Expected) {
    return; // decided locally meanwhile; the next list of slots frees it
  }
  Silent.erase(From);
  auto &Entry = Found->second;
  switch (Reply.Decision) {
  case slot_decision::Queued:
    Entry.State = entry_state::Queued;
    return;
  case slot_decision::Send:
    sendNow(Entry, upstream_id{Reply.Upstream});
    return;
  case slot_decision::Refused:
    refuse(Reply.Number, duration(Reply.RetryAfter));
    return;
  case slot_decision::NotOwner:
    // The two routers have not seen the same change yet.
    decideLocally(Reply.Number, Entry);
    return;
  }
}

void slot_allocator::sendNow(entry &Entry, upstream_id Upstream) {
  --Waiting;
  Entry.State = entry_state::Sent;
  Entry.Upstream = Upstream;
  const auto OnSend = std::exchange(Entry.Callbacks, {}).OnSend;
  OnSend(Upstream);
}

void slot_allocator::refuse(std::uint64_t Number, duration RetryAfter) {
  const auto Taken = Entries.extract(Number);
  --Waiting;
  NumberOfRequest.erase(Taken.mapped().Wish.RequestId);
  Taken.mapped().Callbacks.OnRefused(RetryAfter);
}

slot_allocator::entry_map::iterator
slot_allocator::find(std::uint64_t RequestId) {
  const auto Number = NumberOfRequest.find(RequestId);
  return Number == NumberOfRequest.end() ? Entries.end()
                                         : Entries.find(Number->second);
}

void slot_allocator::onFirstByte(std::uint64_t RequestId) {
  const auto Found = find(RequestId);
  if (Found == Entries.end()) {
    return;
  }
  if (Found->second.Owner) {
    tell(Found->second, Found->first, slot_event_kind::FirstByte,
         upstream_result::Ignored);
  } else {
    localPool(Found->second.Wish.Service).onFirstByte(Found->first);
  }
}

void slot_allocator::end(std::uint64_t RequestId, upstream_result Health) {
  const auto Found = find(RequestId);
  if (Found == Entries.end()) {
    return;
  }
  auto Taken = Entries.extract(Found);
  NumberOfRequest.erase(RequestId);
  const auto &Entry = Taken.mapped();
  if (Entry.State != entry_state::Sent) {
    --Waiting;
  }
  if (Entry.Owner) {
    tell(Entry, Taken.key(),
         Entry.State == entry_state::Sent ? slot_event_kind::Ended
                                          : slot_event_kind::Cancelled,
         Health);
    return;
  }
  auto &Pool = localPool(Entry.Wish.Service);
  if (!Pool.cancel(Taken.key())) {
    Pool.complete(Taken.key(), Health, monotonic_clock::now());
  }
}

void slot_allocator::onLoadReport(std::string_view Service,
                                  upstream_id Upstream,
                                  const balance::load_report &Load) {
  localPool(std::string(Service)).onLoadReport(Upstream, Load);
}

bool slot_allocator::anyUsable(std::string_view Service,
                               const std::vector<upstream_id> &Excluded) const {
  const auto List = Cells.find(Service);
  if (List == Cells.end()) {
    return false;
  }
  for (const auto &Cell : List->second) {
    for (const auto &Facts : Cell.Upstreams) {
      if (Facts.Usable && std::find(Excluded.begin(), Excluded.end(),
                                    Facts.Id) == Excluded.end()) {
        return true;
      }
    }
  }
  return false;
}

void slot_allocator::tell(const entry &Entry, std::uint64_t Number,
                          slot_event_kind Kind, upstream_result Health) {
  slot_events_message Message;
  Message.Service = Entry.Cell.Service;
  Message.Cell = Entry.Cell.Index;
  Message.Events.push_back(
      {Number, Kind, Health, Entry.Upstream ? number(*Entry.Upstream) : 0});
  deliver(*Entry.Owner, net::message_kind::SlotEvents, encode(Message));
}

void slot_allocator::tellHoldings() {
  std::map<cell_key, slot_events_message> Messages;
  for (auto &[Number, Entry] : Entries) {
    if (!Entry.Owner) {
      continue; // not known to any owner
    }
    Messages[Entry.Cell].Events.push_back(
        {Number, slot_event_kind::Holds, upstream_result::Ignored,
         Entry.Upstream ? number(*Entry.Upstream) : 0});
  }
  for (const auto &[Service, List] : Cells) {
    for (const auto &Cell : List) {
      if (!Cell.Owner) {
        continue;
      }
      auto &Message = Messages[Cell.Key];
      Message.Service = Cell.Key.Service;
      Message.Cell = Cell.Key.Index;
      Message.Complete = true;
      deliver(*Cell.Owner, net::message_kind::SlotEvents, encode(Message));
    }
  }
}

void slot_allocator::deliver(node_id To, net::message_kind Kind,
                             const std::string &Payload) {
  if (To != Self) {
    Send(To, Kind, Payload);
    return;
  }
  asio::post(Io, [this, Kind, Payload] { onMessage(Self, Kind, Payload); });
}

void slot_allocator::checkOwners(instant Now) {
  std::vector<std::uint64_t> Unanswered;
  std::vector<std::uint64_t> Overdue;
  for (const auto &[Number, Entry] : Entries) {
    if (Entry.State == entry_state::Asked &&
        Now - Entry.AskedAt >= OwnerTimeout) {
      Unanswered.push_back(Number);
    } else if (Entry.State == entry_state::Queued &&
               Now >= Entry.Wish.DispatchDeadline + RefusalSlack) {
      Overdue.push_back(Number);
    }
  }
  for (const auto Number : Unanswered) {
    auto &Entry = Entries.at(Number);
    const node_id Owner = *Entry.Owner;
    if (Silent.find(Owner) == Silent.end()) {
      logEvent(log_level::Warning, "cell_owner_silent",
               {{"peer", number(Owner)},
                {"service", Entry.Cell.Service},
                {"cell", Entry.Cell.Index}});
    }
    Silent[Owner] = Now + OwnerPause;
    tell(Entry, Number, slot_event_kind::Cancelled, upstream_result::Ignored);
    decideLocally(Number, Entry);
  }
  for (const auto Number : Overdue) {
    tell(Entries.at(Number), Number, slot_event_kind::Cancelled,
         upstream_result::Ignored);
    refuse(Number, duration::zero());
  }
}

void slot_allocator::runLocal(instant Now) {
  for (auto &[Service, Pool] : Local) {
    if (Pool.waiting() == 0) {
      continue;
    }
    for (const auto Number : Pool.expireWaiting(Now)) {
      refuse(Number, duration::zero());
    }
    for (const auto &Ready : Pool.dispatchReady(Now)) {
      sendNow(Entries.at(Ready.RequestId), Ready.Upstream);
    }
  }
}

void slot_allocator::armCheck() {
  if (CheckArmed || (Waiting == 0 && Host.waiting() == 0)) {
    return;
  }
  CheckArmed = true;
  CheckTimer.expires_after(CheckInterval);
  CheckTimer.async_wait([this](const asio::error_code &Error) {
    CheckArmed = false;
    if (Error) {
      return;
    }
    const instant Now = monotonic_clock::now();
    Host.run(Now);
    checkOwners(Now);
    runLocal(Now);
    armCheck();
  });
}

void slot_allocator::armHoldings() {
  HoldingsTimer.expires_after(HoldingsInterval);
  HoldingsTimer.async_wait([this](const asio::error_code &Error) {
    if (Error) {
      return;
    }
    follow();
    tellHoldings();
    armHoldings();
  });
}

balance::request_scheduler &
slot_allocator::localPool(const std::string &Service) {
  return Local.try_emplace(Service, Seed).first->second;
}

} // namespace arbutus::traffic
