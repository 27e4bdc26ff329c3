#ifndef ARBUTUS_NET_CALL_OUTCOME_H
#define ARBUTUS_NET_CALL_OUTCOME_H

#include "base/name_table.h"

namespace arbutus::net {

/// How an upstream call ended, by what it proves about the request.
enum class call_outcome {
  Complete,       ///< a whole answer was received
  NothingSent,    ///< no byte of the request left: it did not run
  SentNoAnswer,   ///< bytes were sent, no byte of an answer came: unknown
  AnswerBroken,   ///< the answer began and was cut short
  DeadlinePassed, ///< ended by the deadline after bytes were sent
  Cancelled,      ///< ended by `cancel`
};

} // namespace arbutus::net

namespace arbutus {

template <> struct name_table<net::call_outcome> {
  static constexpr name_row<net::call_outcome> Rows[] = {
      {net::call_outcome::Complete, "complete"},
      {net::call_outcome::NothingSent, "nothing_sent"},
      {net::call_outcome::SentNoAnswer, "sent_no_answer"},
      {net::call_outcome::AnswerBroken, "answer_broken"},
      {net::call_outcome::DeadlinePassed, "deadline_passed"},
      {net::call_outcome::Cancelled, "cancelled"},
  };
};

} // namespace arbutus

#endif
