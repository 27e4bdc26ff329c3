#ifndef ARBUTUS_ROUTER_ADMISSION_H
#define ARBUTUS_ROUTER_ADMISSION_H

#include "base/result.h"
#include "router/routed_request.h"

namespace arbutus::router {

/// True if requests for the target are proxied to the upstreams of a service.
[[nodiscard]] bool isProxiedPath(std::string_view Target) noexcept;

/// Parses and checks a caller's request: API key, service, route, sizes and
/// body. When an error is returned, nothing was sent to an upstream.
[[nodiscard]] result<request_ptr, request_error>
admitRequest(router_context &Context, shard &Shard,
             const std::shared_ptr<net::http_exchange> &Exchange);

/// Returns the id under which a caller finds its request in logs: its own
/// X-Request-Id if that is valid, else `Fallback`.
[[nodiscard]] std::string callerRequestId(const net::http_request &Request,
                                          const std::string &Fallback);

} // namespace arbutus::router

#endif
