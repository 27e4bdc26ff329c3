#ifndef ARBUTUS_STORE_OUTCOME_H
#define ARBUTUS_STORE_OUTCOME_H

#include "base/name_table.h"
#include "store/commands.h"
#include "store/field_error.h"
#include "store/resource.h"
#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::store {

/// Result of a command. The numbers are part of the snapshot format.
enum class outcome_code : int {
  /// Done; a write has the object, a completion the expiry.
  Ok = 0,
  /// Another version is current; `Object` is the current object.
  Conflict = 1,
  /// `Errors` has every fault.
  Invalid = 2,
  /// The object, pool, team, service or claim does not exist.
  NotFound = 3,
  /// `Referrers` name the object that was to be deleted.
  InUse = 4,
  /// The request id was used for a different write.
  RequestIdReused = 5,
  /// The pool has this epoch or a larger one; `Object` is the pool.
  StaleEpoch = 6,
  /// The claim is held: the request may run now.
  Granted = 7,
  /// Another request with this key is running.
  InProgress = 8,
  /// The request ran; `Answer` is its answer.
  Completed = 9,
  /// The key was used with a different request hash.
  Mismatch = 10,
  /// The owner's session ended; whether the request ran is not known.
  Unknown = 11,
  /// The claim belongs to another owner or attempt.
  NotOwner = 12,
  /// The owner's incarnation is closed.
  OwnerClosed = 13,
  /// This attempt was withdrawn before.
  Withdrawn = 14,
  /// The table of claims is full; the request must not run.
  ClaimsFull = 15,
};

/// Typed result of one command.
struct command_outcome {
  outcome_code Code = outcome_code::Ok;
  /// The object that was written, deleted, or is current; else null.
  resource_ptr Object;
  std::vector<field_error> Errors;
  std::vector<object_key> Referrers;
  claim_answer Answer;
  /// Log time at which the record of a claim is dropped, in ms; 0 if none.
  std::int64_t ExpiresAtMs = 0;
  /// Claims that became unknown or records that expired.
  std::uint64_t Count = 0;
  /// True if this is the recorded answer of an earlier request.
  bool Resent = false;

  MSGPACK_DEFINE(Code, Object, Errors, Referrers, Answer, ExpiresAtMs, Count,
                 Resent)
};

/// One line that describes an outcome, for tests and operators.
[[nodiscard]] std::string describe(const command_outcome &Outcome);

} // namespace arbutus::store

namespace arbutus {

template <> struct name_table<store::outcome_code> {
  using code = store::outcome_code;
  static constexpr name_row<code> Rows[] = {
      {code::Ok, "ok"},
      {code::Conflict, "conflict"},
      {code::Invalid, "invalid"},
      {code::NotFound, "not_found"},
      {code::InUse, "in_use"},
      {code::RequestIdReused, "request_id_reused"},
      {code::StaleEpoch, "stale_epoch"},
      {code::Granted, "granted"},
      {code::InProgress, "in_progress"},
      {code::Completed, "completed"},
      {code::Mismatch, "mismatch"},
      {code::Unknown, "unknown"},
      {code::NotOwner, "not_owner"},
      {code::OwnerClosed, "owner_closed"},
      {code::Withdrawn, "withdrawn"},
      {code::ClaimsFull, "claims_full"},
  };
};

} // namespace arbutus

MSGPACK_ADD_ENUM(arbutus::store::outcome_code)

#endif
