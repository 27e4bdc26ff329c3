#ifndef ARBUTUS_STORE_CLAIM_TABLE_H
#define ARBUTUS_STORE_CLAIM_TABLE_H

#include "store/claim_record.h"
#include "store/outcome.h"
#include <msgpack.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <unordered_set>

namespace arbutus::store {

/// Largest idempotency key, request hash, content type and answer body that
/// are stored, in bytes. They bound the memory of one claim.
inline constexpr std::size_t MaxClaimKeyBytes = 256;
inline constexpr std::size_t MaxRequestHashBytes = 64;
inline constexpr std::size_t MaxContentTypeBytes = 256;
inline constexpr std::size_t MaxAnswerBytes = 65'536;

/// Memory for all stored answers, in bytes. Further answers are stored as
/// status only.
inline constexpr std::size_t MaxAllAnswerBytes = 67'108'864;

/// Claim records of the fleet and of one team. The team's limit keeps one
/// team from taking the whole table.
inline constexpr std::size_t MaxClaims = 400'000;
inline constexpr std::size_t MaxClaimsPerTeam = 40'000;

/// Log time for which a withdrawn claim is kept, in milliseconds. It has to
/// outlive a delayed resend: longer than any connection between two nodes
/// keeps a frame.
inline constexpr std::int64_t WithdrawnRetentionMs = 60'000;

/// Claims by key. An open claim stays until it is completed, withdrawn or
/// abandoned; every other record expires.
class claim_table {
public:
  claim_table() = default;
  claim_table(const claim_table &) = delete;
  claim_table &operator=(const claim_table &) = delete;

  /// Grants the claim or tells why not. `Known` is false if the team or the
  /// service does not exist; then no new claim is granted.
  command_outcome claim(const claim_command &Command, bool Known);
  command_outcome complete(const complete_command &Command, std::int64_t NowMs,
                           std::int64_t RetentionMs);
  command_outcome withdraw(const withdraw_command &Command, std::int64_t NowMs);
  command_outcome abandon(const abandon_command &Command, std::int64_t NowMs,
                          std::int64_t RetentionMs);
  /// Drops records whose time has come and returns their number.
  std::uint64_t expire(std::int64_t NowMs);

  [[nodiscard]] std::size_t size() const noexcept { return Claims.size(); }
  /// Owners of open claims, each once.
  [[nodiscard]] std::set<std::pair<node_id, incarnation>> openOwners() const;
  /// Builds the indexes after unpacking. Returns false if the records
  /// contradict themselves.
  [[nodiscard]] bool rebuild();
  MSGPACK_DEFINE(Claims, Closed)

private:
  using entry = std::map<claim_key, claim_record>::value_type;

  [[nodiscard]] bool isClosed(const claim_owner &Owner) const;
  [[nodiscard]] bool hasRoom(team_id Team) const;
  void open(entry &Entry, const claim_command &Command);
  /// Ends the open state; the record expires at `ExpiresAtMs`.
  void settle(entry &Entry, claim_state State, std::int64_t ExpiresAtMs);
  void storeAnswer(claim_record &Record, const claim_answer &Answer);

  std::map<claim_key, claim_record> Claims;
  /// Highest closed incarnation of each node.
  std::map<node_id, incarnation> Closed;
  // The remaining members are indexes of `Claims`.
  std::multimap<std::int64_t, entry *> ByExpiry;
  std::map<node_id, std::unordered_set<entry *>> OpenOfNode;
  std::map<team_id, std::size_t> CountOfTeam;
  std::size_t AnswerBytes = 0;
};

} // namespace arbutus::store

#endif
