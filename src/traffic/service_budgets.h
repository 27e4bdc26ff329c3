#ifndef ARBUTUS_TRAFFIC_SERVICE_BUDGETS_H
#define ARBUTUS_TRAFFIC_SERVICE_BUDGETS_H

#include "router/retry_budget.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace arbutus::traffic {

/// Limits for the retries of the whole fleet at one service.
struct retry_limits {
  /// Retries added per 100 first attempts.
  int RetryPercent = 10;
  /// Maximum balance of retries of all routers together.
  double MaxFleetBalance = 40;
};

/// One retry budget per service, so that a service with much traffic does not
/// pay for the retries at a service that refuses everything. The maximum
/// balance is divided by the number of routers, so that the limit of the fleet
/// does not depend on their number. Not thread-safe.
class service_budgets {
public:
  explicit service_budgets(retry_limits Limits) noexcept : Limits(Limits) {}

  /// Sets the number of live routers.
  void setRouters(std::size_t Count) {
    Count = Count == 0 ? 1 : Count;
    if (Count == Routers) {
      return;
    }
    Routers = Count;
    for (auto &[Service, Budget] : Budgets) {
      Budget.setMaxBalance(balancePerRouter());
    }
  }

  /// Records the first attempt of a request to a service.
  void deposit(std::string_view Service) { budgetOf(Service).deposit(); }

  /// Withdraws one retry; returns false if none is left.
  [[nodiscard]] bool tryWithdraw(std::string_view Service) {
    return budgetOf(Service).tryWithdraw();
  }

private:
  [[nodiscard]] double balancePerRouter() const noexcept {
    return Limits.MaxFleetBalance / static_cast<double>(Routers);
  }

  router::retry_budget &budgetOf(std::string_view Service) {
    const auto Found = Budgets.find(Service);
    if (Found != Budgets.end()) {
      return Found->second;
    }
    auto &Budget = Budgets[std::string(Service)];
    Budget.setRetryPercent(Limits.RetryPercent);
    Budget.setMaxBalance(balancePerRouter());
    return Budget;
  }

  retry_limits Limits;
  std::size_t Routers = 1;
  std::map<std::string, router::retry_budget, std::less<>> Budgets;
};

} // namespace arbutus::traffic

#endif
