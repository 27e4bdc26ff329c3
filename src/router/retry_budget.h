#ifndef ARBUTUS_ROUTER_RETRY_BUDGET_H
#define ARBUTUS_ROUTER_RETRY_BUDGET_H

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdint>

namespace arbutus::router {

/// Bounds the calls that retries add: every first call earns a fraction of a
/// retry, every retry spends a whole one. Since each router keeps to the
/// fraction, so does the fleet. Thread-safe.
class retry_budget {
public:
  /// Sets the retries that 100 first calls earn.
  void setRetryPercent(int Percent) noexcept { PercentValue = Percent; }

  /// Sets the retries that may be saved up, at least one. What is saved beyond
  /// them is lost.
  void setMaxBalance(double Retries) noexcept {
    const auto Most = std::max(
        CentsPerRetry, std::int64_t{std::llround(Retries * CentsPerRetry)});
    MostCents.store(Most, std::memory_order_relaxed);
    add(0);
  }

  /// Records a first call.
  void deposit() noexcept { add(PercentValue.load(std::memory_order_relaxed)); }

  /// Takes one retry, or returns false when none is left.
  [[nodiscard]] bool tryWithdraw() noexcept {
    std::int64_t Now = Cents.load(std::memory_order_relaxed);
    do {
      if (Now < CentsPerRetry) {
        return false;
      }
    } while (!Cents.compare_exchange_weak(Now, Now - CentsPerRetry,
                                          std::memory_order_relaxed));
    return true;
  }

private:
  static constexpr std::int64_t CentsPerRetry = 100;

  void add(std::int64_t Earned) noexcept {
    const std::int64_t Most = MostCents.load(std::memory_order_relaxed);
    std::int64_t Now = Cents.load(std::memory_order_relaxed);
    while (!Cents.compare_exchange_weak(Now, std::min(Now + Earned, Most),
                                        std::memory_order_relaxed)) {
    }
  }

  std::atomic<std::int64_t> Cents = 10 * CentsPerRetry;
  std::atomic<int> PercentValue = 10;
  /// A quiet router can save up 20 retries, enough for the running calls of
  /// one lost upstream and no more.
  std::atomic<std::int64_t> MostCents = 20 * CentsPerRetry;
};

} // namespace arbutus::router

#endif
