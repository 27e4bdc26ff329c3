#include "base/codec.h"
#include "base/log.h"
#include "control/voter_state.h"

#include <algorithm>
#include <variant>

namespace arbutus::control {

namespace {

/// Part of the exposure that a bad version may have which a canary uses. The
/// rest covers requests that are sent until all routers know a roll-back.
constexpr double CanaryPartOfExposure = 0.5;

/// The order in a command, or nothing if the command carries a version.
std::optional<unversioned_order> orderOf(const store::command_value &Command,
                                         const store::state_machine &Store) {
  if (const auto *Set = std::get_if<store::set_domain_command>(&Command)) {
    const auto Current =
        Store.find(store::resource_kind::FailureDomain, Set->Name);
    const bool InForce =
        Current && Current->as<store::failure_domain>()->State == Set->State;
    return unversioned_order{"failure_domain " + Set->Name,
                             std::string(nameOf(Set->State)),
                             InForce ? Current : nullptr};
  }
  if (const auto *Start = std::get_if<store::start_rollout_command>(&Command)) {
    const auto Current =
        Store.find(store::resource_kind::Rollout, Start->Service);
    const auto *Rollout = Current ? Current->as<store::rollout>() : nullptr;
    const bool InForce = Rollout != nullptr &&
                         Rollout->Target == Start->Target &&
                         Rollout->Phase != store::rollout_phase::RolledBack;
    return unversioned_order{"rollout " + Start->Service, Start->Target,
                             InForce ? Current : nullptr};
  }
  return std::nullopt;
}

} // namespace

void voter::state::handleHeartbeat(const voter_frame &Frame, instant Now) {
  const auto Heartbeat = decodeMessage<heartbeat_message>(Frame.Payload);
  if (Heartbeat.has_value()) {
    Duties.onHeartbeat(Frame.From, Frame.Incarnation, Heartbeat.value(),
                       Raft.status().Leader, isLeading(Now),
                       Raft.status().Membership, Store, Now);
  }
}

void voter::state::handleClaimRequest(const voter_frame &Frame, instant Now) {
  const auto Message = decodeMessage<claim_request_message>(Frame.Payload);
  if (Message.has_error() || !isLeading(Now) || !hasRoomFor(Frame)) {
    return; // The sender resends it to the leader.
  }
  auto Command = decodeMessage<store::command>(Message.value().Command);
  if (Command.has_value()) {
    QueuedBytes += Frame.Payload.size();
    command_requester Requester;
    Requester.Kind = command_requester::kind::Router;
    Requester.Node = Frame.From;
    Requester.Number = Message.value().Number;
    Queue.push_back({std::move(Command.value()), std::move(Requester)});
  }
}

void voter::state::handleAdminRequest(const voter_frame &Frame, instant Now) {
  const auto Request = decodeMessage<api_request_message>(Frame.Payload);
  if (Request.has_error() || !isLeading(Now)) {
    return; // The sender resends it to the leader.
  }
  auto Plan = planAdminRequest(Request.value(), Store, Duties.liveNodes());
  command_requester Requester;
  Requester.Kind = command_requester::kind::Operator;
  Requester.Node = Frame.From;
  Requester.Number = Request.value().Number;
  if (Plan.Command) {
    if (!hasRoomFor(Frame)) {
      return; // As above.
    }
    if (auto *Rollout =
            std::get_if<store::start_rollout_command>(&Plan.Command->Value)) {
      Rollout->CanaryShare =
          CanaryPartOfExposure * Settings.Rollout.MaxExposure;
    }
    const auto Order = orderOf(Plan.Command->Value, Store);
    if (Order && !admitOrder(*Order, Request.value(), Requester, Now)) {
      return;
    }
    QueuedBytes += Frame.Payload.size();
    Queue.push_back({std::move(*Plan.Command), std::move(Requester)});
    return;
  }
  replyToOperator(Requester, std::move(Plan.Response));
}

/// Decides whether an order without a version is proposed. Otherwise it is
/// answered here, or left to be sent again.
bool voter::state::admitOrder(const unversioned_order &Order,
                              const api_request_message &Request,
                              command_requester &Requester, instant Now) {
  if (Order.InForce && !Orders.inProgress(Order.Subject)) {
    // A repeat of the order in force is acknowledged again, however old it is.
    store::command_outcome Outcome;
    Outcome.Code = store::outcome_code::Ok;
    Outcome.Object = Order.InForce;
    replyToOperator(Requester, toApiResponse(Outcome));
    return false;
  }
  const order_stamp Stamp{Request.Term, instantFromMicros(Request.ReceivedAtUs),
                          instantFromMicros(Request.DeadlineUs)};
  const auto Verdict = Orders.judge(Order.Subject, Stamp, Now);
  if (Verdict == order_verdict::Execute) {
    Requester.OrderSubject = Order.Subject;
    Requester.OrderNumber = Orders.onProposed(Order.Subject);
    return true;
  }
  if (Verdict != order_verdict::Wait) {
    logEvent(log_level::Info, "order_refused",
             {{"subject", Order.Subject},
              {"order", Order.Description},
              {"reason", nameOf(Verdict)},
              {"peer", number(Requester.Node)},
              {"age_us", toMicros(Now - Stamp.ReceivedAt)}});
    replyToOperator(Requester, apiError(503, nameOf(Verdict),
                                        "the order is too old or a newer one "
                                        "was carried out; send it again"));
  }
  return false;
}

/// False while the requests that are queued or not committed yet fill their
/// share of the log. A leader whose peers are frozen would otherwise add every
/// resend of a request to its log.
bool voter::state::hasRoomFor(const voter_frame &Frame) const {
  const auto Open = QueuedBytes + Raft.uncommittedBytes();
  return Open == 0 || Open + Frame.Payload.size() <= Limits.UncommittedBytes;
}

void voter::state::reply(const command_requester &Requester,
                         const store::command_outcome &Outcome) {
  switch (Requester.Kind) {
  case command_requester::kind::None:
    return;
  case command_requester::kind::Router: {
    const claim_reply_message Reply{Requester.Number, encode(Outcome)};
    Send(Requester.Node, net::message_kind::ClaimReply, encode(Reply));
    return;
  }
  case command_requester::kind::Discovery:
    Duties.onInstancesStored(Requester.ReadAt, Store.currentRevision());
    return;
  case command_requester::kind::Operator:
    if (!Requester.OrderSubject.empty()) {
      Orders.onApplied(Requester.OrderSubject, Requester.OrderNumber,
                       monotonic_clock::now());
    }
    replyToOperator(Requester, toApiResponse(Outcome));
    return;
  }
}

void voter::state::replyToOperator(const command_requester &Requester,
                                   api_response Response) {
  const api_reply_message Reply{Requester.Number,
                                static_cast<std::uint32_t>(Response.Status),
                                std::move(Response.Body)};
  Send(Requester.Node, net::message_kind::ApiReply, encode(Reply));
}

} // namespace arbutus::control
