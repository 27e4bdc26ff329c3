#ifndef ARBUTUS_ROUTER_LATENCY_STAGE_H
#define ARBUTUS_ROUTER_LATENCY_STAGE_H

#include "base/name_table.h"

namespace arbutus::router {

/// Stage of a request whose duration a latency histogram shows.
enum class latency_stage {
  Waiting,   ///< from arrival to sending it to an upstream
  FirstByte, ///< from sending it to the first byte of the response body
  Answered,  ///< from arrival to the end of the upstream's response
  Failed,    ///< from arrival to an error response of the router
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
