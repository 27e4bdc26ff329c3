#ifndef ARBUTUS_ROUTER_RETRY_BUDGET_H
#define ARBUTUS_ROUTER_RETRY_BUDGET_H

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdint>

namespace arbutus::router {

/// Bounds the load that retries add: every first attempt deposits a fraction of
/// a retry, every retry withdraws a whole one. Since each router keeps to this
/// fraction, the fleet does too. Thread-safe.
class retry_budget {
public:
  /// Sets how many retries 100 first attempts allow.
  void setRetryPercent(int Percent) noexcept { RetryPercent = Percent; }

  /// Sets the upper bound of the balance, in retries; values below 1 count
  /// as 1. A higher balance is cut to the bound.
  void setMaxBalance(double Retries) noexcept {
    const auto MaxBalance =
        std::max(HundredthsPerRetry,
                 std::int64_t{std::llround(Retries * HundredthsPerRetry)});
    MaxBalanceHundredths.store(MaxBalance, std::memory_order_relaxed);
    add(0);
  }

  /// Records a first attempt.
  void deposit() noexcept { add(RetryPercent.load(std::memory_order_relaxed)); }

  /// Withdraws one retry. Returns false if the balance is below one.
  [[nodiscard]] bool tryWithdraw() noexcept {
    std::int64_t Current = BalanceHundredths.load(std::memory_order_relaxed);
    do {
      if (Current < HundredthsPerRetry) {
        return false;
      }
    } while (!BalanceHundredths.compare_exchange_weak(
        Current, Current - HundredthsPerRetry, std::memory_order_relaxed));
    return true;
  }

private:
  static constexpr std::int64_t HundredthsPerRetry = 100;

  void add(std::int64_t Deposited) noexcept {
    const std::int64_t MaxBalance =
        MaxBalanceHundredths.load(std::memory_order_relaxed);
    std::int64_t Current = BalanceHundredths.load(std::memory_order_relaxed);
    while (!BalanceHundredths.compare_exchange_weak(
        Current, std::min(Current + Deposited, MaxBalance),
        std::memory_order_relaxed)) {
    }
  }

  std::atomic<std::int64_t> BalanceHundredths = 10 * HundredthsPerRetry;
  std::atomic<int> RetryPercent = 10;
  /// 20 retries cover the requests in flight to one lost upstream and no more.
  std::atomic<std::int64_t> MaxBalanceHundredths = 20 * HundredthsPerRetry;
};

} // namespace arbutus::router

#endif
