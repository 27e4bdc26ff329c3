#include "control/order_filter.h"

namespace arbutus::control {

void order_filter::lead(std::uint64_t NewTerm, instant Now) {
  if (Term == NewTerm) {
    return;
  }
  reset();
  Term = NewTerm;
  LeadingSince = Now;
}

void order_filter::reset() noexcept {
  Term = 0;
  Subjects.clear();
}

order_verdict order_filter::judge(const std::string &Subject,
                                  const order_stamp &Stamp, instant Now) const {
  if (inProgress(Subject)) {
    return order_verdict::Wait;
  }
  if (Stamp.Term == 0) {
    return order_verdict::Execute;
  }
  if (Stamp.Term != Term) {
    return order_verdict::Wait;
  }
  if (Now >= Stamp.Deadline || Stamp.ReceivedAt <= LeadingSince) {
    return order_verdict::Outdated;
  }
  const auto Found = Subjects.find(Subject);
  if (Found != Subjects.end() && Stamp.ReceivedAt <= Found->second.AppliedAt) {
    return order_verdict::Overtaken;
  }
  return order_verdict::Execute;
}

bool order_filter::inProgress(const std::string &Subject) const {
  const auto Found = Subjects.find(Subject);
  return Found != Subjects.end() && Found->second.InProgress != 0;
}

std::uint64_t order_filter::onProposed(const std::string &Subject) {
  Subjects[Subject].InProgress = ++LastNumber;
  return LastNumber;
}

void order_filter::onApplied(const std::string &Subject, std::uint64_t Number,
                             instant Now) {
  auto &Orders = Subjects[Subject];
  // An order that was proposed before a `reset` leaves a later one in progress.
  if (Orders.InProgress == Number) {
    Orders.InProgress = 0;
  }
  Orders.AppliedAt = Now;
}

} // namespace arbutus::control
