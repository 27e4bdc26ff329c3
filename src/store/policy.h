#ifndef ARBUTUS_STORE_POLICY_H
#define ARBUTUS_STORE_POLICY_H

#include <msgpack.hpp>

#include <cstdint>
#include <string_view>

namespace arbutus::store {

/// Name of the only policy object.
inline constexpr std::string_view PolicyName = "fleet";

/// Values that hold for the whole fleet.
struct policy {
  /// Retries as a part of the fleet's load, 0 to 100 percent.
  std::uint32_t RetryBudgetPercent = 10;
  /// Time for which the answer of a claimed request is kept, in seconds.
  std::uint32_t ClaimRetentionS = 86'400;
  /// Time for which callers may keep an address answer, in milliseconds.
  std::uint32_t AddressTtlMs = 10'000;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.optional("retry_budget_percent", Spec.RetryBudgetPercent);
    Visit.optional("claim_retention_s", Spec.ClaimRetentionS);
    Visit.optional("address_ttl_ms", Spec.AddressTtlMs);
  }
  bool operator==(const policy &) const = default;
  MSGPACK_DEFINE(RetryBudgetPercent, ClaimRetentionS, AddressTtlMs)
};

} // namespace arbutus::store

#endif
