#ifndef ARBUTUS_CONTROL_ORDER_FILTER_H
#define ARBUTUS_CONTROL_ORDER_FILTER_H

#include "base/clock.h"
#include "base/name_table.h"

#include <cstdint>
#include <map>
#include <string>

namespace arbutus::control {

/// When a router received an order, on the clock of the leader of `Term`.
struct order_stamp {
  /// 0 if the router runs an earlier version, which sends no stamp.
  std::uint64_t Term = 0;
  /// Not later than the order arrived at the router.
  instant ReceivedAt;
  /// When the router stops waiting for the answer.
  instant Deadline;
};

/// What the leader does with an order.
enum class order_verdict : std::uint8_t {
  Execute,
  Wait,      ///< another order on the subject is not committed yet, or the
             ///< stamp is of an earlier leader; the router sends it again
  Outdated,  ///< nobody waits for the answer any more, or the order arrived
             ///< before this leader began to lead
  Overtaken, ///< another order was carried out after this one had arrived
};

/// Decides which orders without a version a leader carries out: those on a
/// failure domain and those that start a rollout of a service; each is on one
/// subject. Such an order has no version, and one that was held up in a frozen
/// process, a link's queue or a resend may arrive after a newer one was
/// acknowledged; it must not replace the newer one. An operator sends an order
/// only after the one before was acknowledged, so an order that had arrived
/// before the last one was carried out is the older of the two. All times are
/// of the leader's own clock.
class order_filter {
public:
  /// Starts to lead in `Term` unless it does already.
  void lead(std::uint64_t Term, instant Now);
  /// Forgets all orders, because this node may not lead any more.
  void reset() noexcept;

  [[nodiscard]] order_verdict judge(const std::string &Subject,
                                    const order_stamp &Stamp,
                                    instant Now) const;

  /// True while an order on the subject is not committed.
  [[nodiscard]] bool inProgress(const std::string &Subject) const;

  /// Notes that an order was taken into the log. Returns a number for
  /// `onApplied`.
  std::uint64_t onProposed(const std::string &Subject);
  /// Notes that the order with this number was carried out.
  void onApplied(const std::string &Subject, std::uint64_t Number, instant Now);

private:
  struct subject_orders {
    /// Number of the order that is not committed yet, 0 if there is none.
    std::uint64_t InProgress = 0;
    instant AppliedAt = instant::min();
  };

  /// 0 while this node does not lead.
  std::uint64_t Term = 0;
  instant LeadingSince;
  std::uint64_t LastNumber = 0;
  std::map<std::string, subject_orders> Subjects;
};

} // namespace arbutus::control

namespace arbutus {

template <> struct name_table<control::order_verdict> {
  using verdict = control::order_verdict;
  static constexpr name_row<verdict> Rows[] = {
      {verdict::Execute, "execute"},
      {verdict::Wait, "wait"},
      {verdict::Outdated, "outdated"},
      {verdict::Overtaken, "overtaken"},
  };
};

} // namespace arbutus

#endif
