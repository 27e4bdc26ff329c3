#ifndef ARBUTUS_TRAFFIC_SERVICE_BUDGETS_H
#define ARBUTUS_TRAFFIC_SERVICE_BUDGETS_H

#include "router/retry_budget.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace arbutus::traffic {

/// The fleet's limits on retries at one service.
struct retry_limits {
  /// Retries that 100 first calls earn.
  int Percent = 10;
  /// Retries that all routers together may save up.
  double MaxFleetBalance = 40;
};

/// A retry budget for each service: a service with much traffic must not pay
/// for the retries at one that refuses everything. What may be saved up is
/// divided among the routers, so that the fleet keeps to its limit however
/// many there are. Not thread-safe.
class service_budgets {
public:
  explicit service_budgets(retry_limits Limits) noexcept : Limits(Limits) {}

  /// Follows the number of live routers.
  void setRouters(std::size_t Count) {
    Count = Count == 0 ? 1 : Count;
    if (Count == Routers) {
      return;
    }
    Routers = Count;
    for (auto &[Service, Budget] : Budgets) {
      Budget.setMaxBalance(savedHere());
    }
  }

  /// Records a first call to a service.
  void deposit(std::string_view Service) { budgetOf(Service).deposit(); }

  /// Takes one retry, or returns false when none is left.
  [[nodiscard]] bool tryWithdraw(std::string_view Service) {
    return budgetOf(Service).tryWithdraw();
  }

private:
  [[nodiscard]] double savedHere() const noexcept {
    return Limits.MaxFleetBalance / static_cast<double>(Routers);
  }

  router::retry_budget &budgetOf(std::string_view Service) {
    const auto Found = Budgets.find(Service);
    if (Found != Budgets.end()) {
      return Found->second;
    }
    auto &Budget = Budgets[std::string(Service)];
    Budget.setRetryPercent(Limits.Percent);
    Budget.setMaxBalance(savedHere());
    return Budget;
  }

  retry_limits Limits;
  std::size_t Routers = 1;
  std::map<std::string, router::retry_budget, std::less<>> Budgets;
};

} // namespace arbutus::traffic

#endif
