#ifndef ARBUTUS_TRAFFIC_TRAFFIC_ADMISSION_H
#define ARBUTUS_TRAFFIC_TRAFFIC_ADMISSION_H

#include "base/result.h"
#include "router/request_error.h"
#include "traffic/traffic_request.h"

#include <memory>

namespace arbutus::traffic {

/// Determines the route, team, service and deadlines of a request. An error is
/// the reason for refusing it; the request has not been executed then.
[[nodiscard]] result<traffic_request_ptr, router::request_error>
admitRequest(traffic_shard &Shard,
             const std::shared_ptr<net::http_exchange> &Exchange,
             const caller_request &Caller);

} // namespace arbutus::traffic

#endif
