#include "membership/grantor_placement.h"

#include "base/digest.h"

#include <algorithm>

namespace arbutus::membership {

namespace {

/// Each pool ranks the nodes differently, so that the pools of a lost grantor
/// are spread over the others.
std::uint64_t score(pool_id Pool, node_id Node) {
  return hash64(std::to_string(number(Node)), number(Pool));
}

std::optional<move_reason>
findMoveReason(const grantor_assignment &Assignment,
               const std::vector<live_node> &Nodes,
               const std::set<std::string> &OutOfServiceDomains) {
  if (!Assignment.Grantor) {
    return move_reason::NewPool;
  }
  const auto Found =
      std::find_if(Nodes.begin(), Nodes.end(), [&](const live_node &Node) {
        return Node.Info.Node == *Assignment.Grantor && Node.Info.IsRouter;
      });
  if (Found == Nodes.end()) {
    return move_reason::GrantorGone;
  }
  if (number(Assignment.Incarnation) != 0 &&
      Assignment.Incarnation != Found->Incarnation) {
    // The former incarnation held the counts of granted slots in memory, so
    // even the same node needs a new epoch.
    return move_reason::GrantorRestarted;
  }
  if (Found->Suspected) {
    return move_reason::GrantorSuspected;
  }
  if (Found->Leaving) {
    return move_reason::GrantorLeaving;
  }
  if (OutOfServiceDomains.count(Found->Info.FailureDomain) != 0) {
    return move_reason::DomainOutOfService;
  }
  return std::nullopt;
}

} // namespace

std::vector<grantor_move>
planGrantorMoves(const std::vector<grantor_assignment> &Assignments,
                 const std::vector<live_node> &Nodes,
                 const std::set<std::string> &OutOfServiceDomains) {
  std::vector<const live_node *> InService;
  std::vector<const live_node *> OutOfService;
  for (const auto &Node : Nodes) {
    if (Node.Info.IsRouter && !Node.Suspected && !Node.Leaving) {
      const bool IsOutOfService =
          OutOfServiceDomains.count(Node.Info.FailureDomain) != 0;
      (IsOutOfService ? OutOfService : InService).push_back(&Node);
    }
  }
  const auto &Eligible = InService.empty() ? OutOfService : InService;
  std::vector<grantor_move> Moves;
  for (const auto &Assignment : Assignments) {
    const auto Reason = findMoveReason(Assignment, Nodes, OutOfServiceDomains);
    if (!Reason || Eligible.empty() ||
        (Reason == move_reason::DomainOutOfService && InService.empty())) {
      continue;
    }
    const auto *Best =
        *std::max_element(Eligible.begin(), Eligible.end(),
                          [&](const live_node *Left, const live_node *Right) {
                            return score(Assignment.Pool, Left->Info.Node) <
                                   score(Assignment.Pool, Right->Info.Node);
                          });
    Moves.push_back({Assignment.Pool, Assignment.Grantor, Best->Info.Node,
                     Best->Incarnation, *Reason});
  }
  return Moves;
}

} // namespace arbutus::membership
