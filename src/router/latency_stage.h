#ifndef ARBUTUS_ROUTER_LATENCY_STAGE_H
#define ARBUTUS_ROUTER_LATENCY_STAGE_H

#include "base/name_table.h"

namespace arbutus::router {

/// Part of a request's time that a latency histogram shows.
enum class latency_stage {
  Waiting,   ///< from its arrival until it was sent to an upstream
  FirstByte, ///< from then until the first byte of the upstream's body
  Answered,  ///< from its arrival until the end of an upstream's answer
  Failed,    ///< from its arrival until the end with an error of the router
};

} // namespace arbutus::router

namespace arbutus {

template <> struct name_table<router::latency_stage> {
  using stage = router::latency_stage;
  static constexpr name_row<stage> Rows[] = {
      {stage::Waiting, "waiting"},
      {stage::FirstByte, "first_byte"},
      {stage::Answered, "answered"},
      {stage::Failed, "failed"},
  };
};

} // namespace arbutus

#endif
