#ifndef ARBUTUS_ROUTER_ADMISSION_H
#define ARBUTUS_ROUTER_ADMISSION_H

#include "base/result.h"
#include "router/routed_request.h"

namespace arbutus::router {

/// True if the target belongs to the services that callers use.
[[nodiscard]] bool isServiceTarget(std::string_view Target) noexcept;

/// Reads and checks a caller's request: key, service, route, sizes and body.
/// Nothing has reached an upstream when an error is returned.
[[nodiscard]] result<request_ptr, request_error>
admitRequest(router_context &Context, shard &Shard,
             const std::shared_ptr<net::http_exchange> &Exchange);

/// The id under which a caller finds its request in logs: its own X-Request-Id
/// if that is valid, else `Fallback`.
[[nodiscard]] std::string publicIdOf(const net::http_request &Request,
                                     const std::string &Fallback);

} // namespace arbutus::router

#endif
