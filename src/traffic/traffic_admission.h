#ifndef ARBUTUS_TRAFFIC_TRAFFIC_ADMISSION_H
#define ARBUTUS_TRAFFIC_TRAFFIC_ADMISSION_H

#include "base/result.h"
#include "router/request_error.h"
#include "traffic/traffic_request.h"

#include <memory>

namespace arbutus::traffic {

/// Finds route, team and service of a request, and its deadline. The error says
/// why it is refused; nothing has run then.
[[nodiscard]] result<traffic_request_ptr, router::request_error>
admitTraffic(traffic_shard &Shard,
             const std::shared_ptr<net::http_exchange> &Exchange,
             const caller_request &Caller);

} // namespace arbutus::traffic

#endif
