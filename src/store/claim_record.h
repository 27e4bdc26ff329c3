#ifndef ARBUTUS_STORE_CLAIM_RECORD_H
#define ARBUTUS_STORE_CLAIM_RECORD_H

#include "store/commands.h"
#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace arbutus::store {

/// State of a claim. The numbers are part of the snapshot format.
enum class claim_state : int {
  /// The owner may be running the request.
  Open = 0,
  Completed = 1,
  /// The owner's session ended before an answer was recorded.
  Unknown = 2,
  /// The owner gave the claim back. The record is kept for a while to refuse a
  /// delayed resend of the claim, which nobody would give back again.
  Withdrawn = 3,
};

/// What is stored for one idempotency key.
struct claim_record {
  std::string RequestHash;
  claim_owner Owner;
  claim_state State = claim_state::Open;
  claim_answer Answer;
  /// Log time at which the record is dropped; 0 while the claim is open.
  std::int64_t ExpiresAtMs = 0;

  MSGPACK_DEFINE(RequestHash, Owner, State, Answer, ExpiresAtMs)
};

} // namespace arbutus::store

MSGPACK_ADD_ENUM(arbutus::store::claim_state)

#endif
