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

/// Interval for checking waiting requests, since back-offs end and deadlines
/// pass without an event.
constexpr auto CheckInterval = std::chrono::milliseconds(10);
/// Timeout for the first reply of a cell owner. After it, the router schedules
/// the request locally.
constexpr duration OwnerTimeout = 100ms;
/// Time for which no slot requests are sent to an owner that did not reply.
constexpr duration OwnerBackoff = 1s;
/// Interval between two snapshots of all slots in use.
constexpr duration SnapshotInterval = 500ms;
/// Time past its dispatch deadline for which a queued request waits for the
/// owner's reply.
constexpr duration RefusalGrace = 50ms;
/// Age up to which the reported load of a cell is used.
constexpr duration CellLoadLifetime = 1s;
/// Time for which an owner still receives snapshots after the last request of
/// this router, so that one lost snapshot leaves no slot in use.
constexpr duration SnapshotRetention = 3s;
/// Prompts with a longer shared prefix go to one cell of the whole fleet:
/// prefilling the prefix again in each failure domain would cost more than
/// carrying the requests there.
constexpr std::uint64_t MaxReplicatedPrefixTokens = 1'000;

std::vector<balance::upstream_info>
upstreamInfos(const store::traffic_view &Traffic, std::string_view Pool) {
  const auto *Profile = Traffic.service(Pool);
  std::vector<balance::upstream_info> List;
  for (const auto &Entry : Traffic.instances(Pool)) {
    balance::upstream_info Info;
    Info.Id = Entry.Id;
    Info.Name = Entry.Name;
    Info.FailureDomain = Entry.Spec->FailureDomain;
    Info.Slots = std::max(1U, Entry.Spec->Slots);
    Info.Usable = Entry.Usable;
    Info.StartedMs = Entry.Spec->StartedMs;
    if (Profile != nullptr) {
      Info.IsModelEngine = Profile->Model;
      Info.CacheTokens = Profile->CacheTokens;
      Info.ColdRequestsPerSecond =
          Entry.Spec->Cold ? Profile->ColdRequestsPerSecond : 0;
    }
    List.push_back(std::move(Info));
  }
  return List;
}

std::string failureDomainOf(const std::vector<membership::live_node> &Nodes,
                            node_id Node) {
  const auto Found =
      std::find_if(Nodes.begin(), Nodes.end(),
                   [Node](const auto &Live) { return Live.Info.Node == Node; });
  return Found == Nodes.end() ? std::string() : Found->Info.FailureDomain;
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

/// Requests with the same affinity go to the same cell: those whose prompts
/// differ only in the last block.
std::uint64_t affinityOf(const slot_request &Request) {
  return balance::sharedPrefixHash(Request.Prompt).value_or(Request.RequestId);
}

} // namespace

slot_allocator::slot_allocator(
    asio::io_context &Io, const rcu_snapshot<router::routing_state> &Routing,
    node_id Self, std::uint64_t Seed, std::uint64_t SequenceStart,
    send_function Send)
    : Io(Io), Routing(Routing), CheckTimer(Io), SnapshotTimer(Io), Self(Self),
      Seed(Seed), LastNumber(SequenceStart), Send(std::move(Send)),
      CellHost(Seed, [this](node_id To, const slot_reply_message &Reply) {
        sendMessage(To, net::message_kind::SlotReply, encode(Reply));
      }) {
  startSnapshotTimer();
}

void slot_allocator::refreshRouting() {
  const auto State = Routing.read([](const auto &Current) { return Current; });
  if (State.View == View && State.Nodes == Nodes) {
    return;
  }
  View = State.View;
  Nodes = State.Nodes;
  const instant Now = monotonic_clock::now();
  const auto Live = liveRouters(*Nodes);
  FailureDomain = failureDomainOf(*Nodes, Self);
  LiveRouters = Live.size();
  std::vector<balance::cell> Owned;
  Cells.clear();
  for (const auto Pool : View->traffic().poolNames()) {
    const auto Info = upstreamInfos(View->traffic(), Pool);
    auto &Scheduler = localScheduler(std::string(Pool));
    Scheduler.setSchedulerCount(static_cast<std::uint32_t>(Live.size()));
    Scheduler.setUpstreams(Info, Now);
    auto &List = Cells[std::string(Pool)];
    List = balance::assignCells(Pool, Info, *Nodes);
    for (const auto &Cell : List) {
      if (Cell.Owner == Self) {
        Owned.push_back(Cell);
      }
    }
  }
  std::erase_if(CellContacts, [&](const auto &Entry) {
    return !wasUsedLately(Entry.first, Now);
  });
  CellHost.setOwnedCells(Owned, Now);
  CellHost.releaseDepartedRouters(Live, Now);
  CellHost.dispatchAll(Now);
  sendSlotSnapshots();
  startCheckTimer();
}

void slot_allocator::onMessage(node_id From, net::message_kind Kind,
                               const std::string &Payload) {
  refreshRouting();
  const instant Now = monotonic_clock::now();
  if (Kind == net::message_kind::SlotRequest) {
    if (const auto Request = decodeMessage<slot_request_message>(Payload)) {
      CellHost.onRequest(From, Request.value(), Now);
      startCheckTimer();
    }
  } else if (Kind == net::message_kind::SlotEvents) {
    if (const auto Events = decodeMessage<slot_events_message>(Payload)) {
      CellHost.onEvents(From, Events.value(), Now);
    }
  } else if (Kind == net::message_kind::SlotReply) {
    if (const auto Reply = decodeMessage<slot_reply_message>(Payload)) {
      onReply(From, Reply.value());
    }
  }
}

void slot_allocator::acquire(slot_request Request, slot_callbacks Callbacks) {
  const std::uint64_t Number = ++LastNumber;
  NumberByRequestId[Request.RequestId] = Number;
  auto &Entry = Entries[Number];
  Entry.Request = std::move(Request);
  Entry.Callbacks = std::move(Callbacks);
  ++UngrantedCount;
  refreshRouting();
  requestFromOwner(Number, Entry);
  startCheckTimer();
}

const balance::cell *slot_allocator::selectCell(const slot_request &Request,
                                                instant Now) const {
  const auto List = Cells.find(Request.Service);
  if (List == Cells.end()) {
    return nullptr;
  }
  const auto Affinity = affinityOf(Request);
  if (balance::sharedPrefixTokens(Request.Prompt) > MaxReplicatedPrefixTokens) {
    return balance::chooseCell(List->second, Affinity);
  }
  return balance::chooseNearCell(
      List->second, Affinity, FailureDomain,
      [&](const balance::cell &Cell) { return busyShare(Cell, Now); });
}

double slot_allocator::busyShare(const balance::cell &Cell, instant Now) const {
  const auto Found = CellContacts.find(Cell.Key);
  const bool Known = Found != CellContacts.end() &&
                     Now - Found->second.RepliedAt <= CellLoadLifetime;
  return Known ? Found->second.BusyShare : 0;
}

double slot_allocator::busyShare(std::string_view Pool) const {
  const auto List = Cells.find(Pool);
  if (List == Cells.end() || List->second.empty()) {
    return 1;
  }
  const instant Now = monotonic_clock::now();
  double Sum = 0;
  for (const auto &Cell : List->second) {
    Sum += busyShare(Cell, Now);
  }
  return Sum / static_cast<double>(List->second.size());
}

bool slot_allocator::wasUsedLately(const balance::cell_key &Cell,
                                   instant Now) const {
  const auto Found = CellContacts.find(Cell);
  return Found != CellContacts.end() &&
         Now - Found->second.RequestedAt <= SnapshotRetention;
}

void slot_allocator::requestFromOwner(std::uint64_t Number, slot_entry &Entry) {
  const instant Now = monotonic_clock::now();
  const auto *Cell = selectCell(Entry.Request, Now);
  const auto Backoff = Cell == nullptr || !Cell->Owner
                           ? UnresponsiveUntil.end()
                           : UnresponsiveUntil.find(*Cell->Owner);
  if (Cell == nullptr || !Cell->Owner ||
      (Backoff != UnresponsiveUntil.end() && Now < Backoff->second)) {
    scheduleLocally(Number, Entry);
    return;
  }
  Entry.State = slot_state::AwaitingOwner;
  Entry.Cell = Cell->Key;
  Entry.Owner = Cell->Owner;
  Entry.RequestedAt = Now;
  CellContacts[Cell->Key].RequestedAt = Now;
  slot_request_message Message;
  Message.RequestNumber = Number;
  Message.Service = Cell->Key.Service;
  Message.Cell = Cell->Key.Index;
  Message.Team = Entry.Request.Team;
  Message.Cost = Entry.Request.Cost;
  Message.Prompt = Entry.Request.Prompt;
  for (const auto Upstream : Entry.Request.Excluded) {
    Message.Excluded.push_back(number(Upstream));
  }
  Message.DispatchTimeoutUs = toMicros(Entry.Request.DispatchDeadline - Now);
  if (Entry.Request.ResponseTarget != instant::max()) {
    Message.ResponseTargetUs = toMicros(Entry.Request.ResponseTarget - Now);
  }
  sendMessage(*Entry.Owner, net::message_kind::SlotRequest, encode(Message));
}

void slot_allocator::scheduleLocally(std::uint64_t Number, slot_entry &Entry) {
  Entry.State = slot_state::QueuedLocally;
  Entry.Owner.reset();
  balance::queued_request Queued;
  Queued.RequestId = Number;
  Queued.Team =
      Teams
          .try_emplace(Entry.Request.Team,
                       team_id{static_cast<std::uint32_t>(Teams.size() + 1)})
          .first->second;
  Queued.Cost = Entry.Request.Cost;
  Queued.Prompt = Entry.Request.Prompt;
  Queued.Excluded = Entry.Request.Excluded;
  Queued.DispatchDeadline = Entry.Request.DispatchDeadline;
  Queued.ResponseTarget = Entry.Request.ResponseTarget;
  const auto Upstream = localScheduler(Entry.Request.Service)
                            .enqueue(std::move(Queued), monotonic_clock::now());
  if (Upstream) {
    // Callbacks must not run inside `acquire`.
    asio::post(Io, [this, Number, Upstream = *Upstream] {
      const auto Found = Entries.find(Number);
      if (Found != Entries.end()) {
        grantSlot(Found->second, Upstream);
      }
    });
  }
}

void slot_allocator::onReply(node_id From, const slot_reply_message &Reply) {
  const auto Found = Entries.find(Reply.RequestNumber);
  const bool Expected = Found != Entries.end() && Found->second.Owner == From &&
                        (Found->second.State == slot_state::AwaitingOwner ||
                         Found->second.State == slot_state::QueuedByOwner);
  if (!Expected) {
    return; // scheduled locally meanwhile; the next snapshot releases the slot
  }
  UnresponsiveUntil.erase(From);
  auto &Entry = Found->second;
  if (Reply.Decision != slot_decision::NotOwner) {
    auto &Contact = CellContacts[Entry.Cell];
    Contact.BusyShare = Reply.BusyShare;
    Contact.RepliedAt = monotonic_clock::now();
  }
  switch (Reply.Decision) {
  case slot_decision::Queued:
    Entry.State = slot_state::QueuedByOwner;
    return;
  case slot_decision::Granted:
    grantSlot(Entry, upstream_id{Reply.Upstream});
    return;
  case slot_decision::Refused:
    refuse(Reply.RequestNumber, {Reply.Reason, duration(Reply.RetryAfterUs),
                                 upstream_id{Reply.Preferred}});
    return;
  case slot_decision::NotOwner:
    // The two routers have different versions of the routing state.
    scheduleLocally(Reply.RequestNumber, Entry);
    return;
  }
}

void slot_allocator::grantSlot(slot_entry &Entry, upstream_id Upstream) {
  --UngrantedCount;
  Entry.State = slot_state::Granted;
  Entry.Upstream = Upstream;
  const auto OnGranted = std::exchange(Entry.Callbacks, {}).OnGranted;
  OnGranted(Upstream);
}

void slot_allocator::refuse(std::uint64_t Number, const slot_refusal &Refusal) {
  const auto Extracted = Entries.extract(Number);
  --UngrantedCount;
  NumberByRequestId.erase(Extracted.mapped().Request.RequestId);
  Extracted.mapped().Callbacks.OnRefused(Refusal);
}

slot_allocator::slot_entry_map::iterator
slot_allocator::find(std::uint64_t RequestId) {
  const auto Number = NumberByRequestId.find(RequestId);
  return Number == NumberByRequestId.end() ? Entries.end()
                                           : Entries.find(Number->second);
}

void slot_allocator::onFirstByte(std::uint64_t RequestId) {
  const auto Found = find(RequestId);
  if (Found == Entries.end()) {
    return;
  }
  if (Found->second.Owner) {
    sendSlotEvent(Found->second, Found->first, slot_event_kind::FirstByte,
                  upstream_result::Ignored);
  } else {
    localScheduler(Found->second.Request.Service)
        .onFirstByte(Found->first, monotonic_clock::now());
  }
}

void slot_allocator::release(std::uint64_t RequestId, upstream_result Result) {
  const auto Found = find(RequestId);
  if (Found == Entries.end()) {
    return;
  }
  auto Extracted = Entries.extract(Found);
  NumberByRequestId.erase(RequestId);
  auto &Entry = Extracted.mapped();
  if (Entry.State != slot_state::Granted) {
    --UngrantedCount;
  }
  if (Entry.Owner) {
    sendSlotEvent(Entry, Extracted.key(),
                  Entry.State == slot_state::Granted
                      ? slot_event_kind::Ended
                      : slot_event_kind::Cancelled,
                  Result);
    return;
  }
  auto &Scheduler = localScheduler(Entry.Request.Service);
  if (!Scheduler.cancel(Extracted.key())) {
    Scheduler.complete(Extracted.key(), Result, monotonic_clock::now());
  }
}

bool slot_allocator::onRateLimit(std::uint64_t RequestId,
                                 std::optional<double> PerSecond,
                                 instant SentAt) {
  const auto Found = find(RequestId);
  if (Found == Entries.end() || !Found->second.Upstream) {
    return false;
  }
  auto &Entry = Found->second;
  Entry.RateLimit = PerSecond.value_or(NoRateLimit);
  return localScheduler(Entry.Request.Service)
      .recordRateLimit(*Entry.Upstream, PerSecond, SentAt,
                       monotonic_clock::now());
}

void slot_allocator::onLoadReport(std::string_view Service,
                                  upstream_id Upstream,
                                  const balance::load_report &Load) {
  localScheduler(std::string(Service)).onLoadReport(Upstream, Load);
}

bool slot_allocator::hasUsableUpstream(
    std::string_view Service, const std::vector<upstream_id> &Excluded) const {
  const auto List = Cells.find(Service);
  if (List == Cells.end()) {
    return false;
  }
  for (const auto &Cell : List->second) {
    for (const auto &Info : Cell.Upstreams) {
      if (Info.Usable && std::find(Excluded.begin(), Excluded.end(), Info.Id) ==
                             Excluded.end()) {
        return true;
      }
    }
  }
  return false;
}

void slot_allocator::sendSlotEvent(slot_entry &Entry, std::uint64_t Number,
                                   slot_event_kind Kind,
                                   upstream_result Result) {
  slot_events_message Message;
  Message.Service = Entry.Cell.Service;
  Message.Cell = Entry.Cell.Index;
  Message.Events.push_back({Number, Kind, Result,
                            Entry.Upstream ? number(*Entry.Upstream) : 0,
                            std::exchange(Entry.RateLimit, UnknownRateLimit)});
  sendMessage(*Entry.Owner, net::message_kind::SlotEvents, encode(Message));
}

void slot_allocator::sendSlotSnapshots() {
  std::map<cell_key, slot_events_message> Messages;
  for (auto &[Number, Entry] : Entries) {
    if (!Entry.Owner) {
      continue; // scheduled locally
    }
    Messages[Entry.Cell].Events.push_back(
        {Number, slot_event_kind::InUse, upstream_result::Ignored,
         Entry.Upstream ? number(*Entry.Upstream) : 0});
  }
  const instant Now = monotonic_clock::now();
  for (const auto &[Service, List] : Cells) {
    for (const auto &Cell : List) {
      const bool Informed =
          Messages.contains(Cell.Key) || wasUsedLately(Cell.Key, Now);
      if (!Cell.Owner || !Informed) {
        continue;
      }
      auto &Message = Messages[Cell.Key];
      Message.Service = Cell.Key.Service;
      Message.Cell = Cell.Key.Index;
      Message.FullSnapshot = true;
      Message.RateLimits = knownRateLimits(Cell, Now);
      sendMessage(*Cell.Owner, net::message_kind::SlotEvents, encode(Message));
    }
  }
}

std::vector<named_rate_limit>
slot_allocator::knownRateLimits(const balance::cell &Cell, instant Now) const {
  std::vector<named_rate_limit> Known;
  const auto Scheduler = LocalSchedulers.find(Cell.Key.Service);
  if (Scheduler == LocalSchedulers.end()) {
    return Known;
  }
  for (const auto &Info : Cell.Upstreams) {
    const auto *Load = Scheduler->second.find(Info.Id);
    if (Load != nullptr && Load->RateLimit.answeredAt() != instant{}) {
      Known.push_back({number(Info.Id),
                       Load->RateLimit.perSecond().value_or(NoRateLimit),
                       toMicros(Now - Load->RateLimit.answeredAt())});
    }
  }
  return Known;
}

void slot_allocator::sendMessage(node_id To, net::message_kind Kind,
                                 const std::string &Payload) {
  if (To != Self) {
    Send(To, Kind, Payload);
    return;
  }
  asio::post(Io, [this, Kind, Payload] { onMessage(Self, Kind, Payload); });
}

void slot_allocator::expireOwnerRequests(instant Now) {
  std::vector<std::uint64_t> TimedOut;
  std::vector<std::uint64_t> PastDeadline;
  for (const auto &[Number, Entry] : Entries) {
    if (Entry.State == slot_state::AwaitingOwner &&
        Now - Entry.RequestedAt >= OwnerTimeout) {
      TimedOut.push_back(Number);
    } else if (Entry.State == slot_state::QueuedByOwner &&
               Now >= Entry.Request.DispatchDeadline + RefusalGrace) {
      PastDeadline.push_back(Number);
    }
  }
  for (const auto Number : TimedOut) {
    auto &Entry = Entries.at(Number);
    const node_id Owner = *Entry.Owner;
    if (UnresponsiveUntil.find(Owner) == UnresponsiveUntil.end()) {
      logEvent(log_level::Warning, "cell_owner_silent",
               {{"peer", number(Owner)},
                {"service", Entry.Cell.Service},
                {"cell", Entry.Cell.Index}});
    }
    UnresponsiveUntil[Owner] = Now + OwnerBackoff;
    sendSlotEvent(Entry, Number, slot_event_kind::Cancelled,
                  upstream_result::Ignored);
    scheduleLocally(Number, Entry);
  }
  for (const auto Number : PastDeadline) {
    sendSlotEvent(Entries.at(Number), Number, slot_event_kind::Cancelled,
                  upstream_result::Ignored);
    refuse(Number, {});
  }
}

void slot_allocator::dispatchLocally(instant Now) {
  for (auto &[Service, Scheduler] : LocalSchedulers) {
    if (Scheduler.waitingCount() == 0) {
      continue;
    }
    for (const auto &Expired : Scheduler.expireWaiting(Now)) {
      refuse(Expired.RequestId,
             {refusal_reason::Expired, duration::zero(), Expired.Preferred});
    }
    for (const auto &Ready : Scheduler.dispatchReady(Now)) {
      grantSlot(Entries.at(Ready.RequestId), Ready.Upstream);
    }
  }
}

void slot_allocator::startCheckTimer() {
  if (CheckTimerRunning ||
      (UngrantedCount == 0 && CellHost.waitingCount() == 0)) {
    return;
  }
  CheckTimerRunning = true;
  CheckTimer.expires_after(CheckInterval);
  CheckTimer.async_wait([this](const asio::error_code &Error) {
    CheckTimerRunning = false;
    if (Error) {
      return;
    }
    const instant Now = monotonic_clock::now();
    CellHost.dispatchAll(Now);
    expireOwnerRequests(Now);
    dispatchLocally(Now);
    startCheckTimer();
  });
}

void slot_allocator::startSnapshotTimer() {
  SnapshotTimer.expires_after(SnapshotInterval);
  SnapshotTimer.async_wait([this](const asio::error_code &Error) {
    if (Error) {
      return;
    }
    refreshRouting();
    sendSlotSnapshots();
    startSnapshotTimer();
  });
}

balance::request_scheduler &
slot_allocator::localScheduler(const std::string &Service) {
  return LocalSchedulers.try_emplace(Service, Seed).first->second;
}

} // namespace arbutus::traffic
