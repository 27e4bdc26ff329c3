#ifndef ARBUTUS_TRAFFIC_PLATFORM_ADAPTER_H
#define ARBUTUS_TRAFFIC_PLATFORM_ADAPTER_H

#include "net/http_message.h"
#include "router/http_dispatch.h"
#include "store/commands.h"
#include "traffic/platform_codec.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace arbutus::traffic {

/// Location of a caller that asks for router addresses.
struct address_query {
  std::string Region;
  std::string FailureDomain;
};

/// One page of the list of upstream instances.
struct instance_page {
  std::vector<store::named_instance> Instances;
  /// Number of entries that could not be parsed; they are skipped.
  std::size_t MalformedEntries = 0;
  /// Token of the next page; nothing on the last page.
  std::optional<std::string> NextPageToken;
};

/// Either a parsed admin request for the leader, or an immediate response.
using admin_request_result =
    std::variant<router::admin_request, net::http_response>;

/// Translates between HTTP messages of one platform (callers, operators,
/// instance discovery) and internal types. Free functions without state or
/// decisions.
struct platform_adapter {
  platform_codec Codec;

  /// Response to a health check; 404 for any other path.
  net::http_response (*MakeHealthResponse)(const net::http_request &Request,
                                           bool Ready) = nullptr;

  /// Returns nothing if the request does not ask for router addresses.
  std::optional<address_query> (*ParseAddressQuery)(
      const net::http_request &Request) = nullptr;
  net::http_response (*MakeAddressResponse)(
      const std::vector<std::string> &Addresses,
      std::chrono::milliseconds Ttl) = nullptr;

  admin_request_result (*ParseAdminRequest)(const net::http_request &Request) =
      nullptr;
  net::http_response (*MakeAdminResponse)(
      const net::http_request &Request,
      const router::admin_response &Response) = nullptr;

  /// Path and query of a page of instances; the first page has no token.
  std::string (*InstancesTarget)(const std::optional<std::string> &Token) =
      nullptr;
  /// Returns nothing if the page as a whole cannot be parsed.
  std::optional<instance_page> (*ParseInstancePage)(const std::string &Body) =
      nullptr;
};

} // namespace arbutus::traffic

#endif
