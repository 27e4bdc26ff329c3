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

/// Where a caller that asks for addresses is.
struct address_query {
  std::string Region;
  std::string FailureDomain;
};

/// One page of the list of upstream instances.
struct instance_page {
  std::vector<store::named_instance> Instances;
  /// Entries that could not be read; they name no upstream to use.
  std::size_t MalformedEntries = 0;
  /// Token of the next page, or nothing on the last one.
  std::optional<std::string> NextPageToken;
};

/// An operator's order: either a call to the leader or an answer at once.
using admin_request_result =
    std::variant<router::admin_request, net::http_response>;

/// How a site's callers, operators and discovery write what they say. Free
/// functions: the adapter decides nothing and has no state.
struct platform_adapter {
  platform_codec Codec;

  /// Answer to a health check; a request for another path gets 404.
  net::http_response (*MakeHealthResponse)(const net::http_request &Request,
                                           bool Ready) = nullptr;

  /// Nothing when the request is not a question for addresses.
  std::optional<address_query> (*ParseAddressQuery)(
      const net::http_request &Request) = nullptr;
  net::http_response (*MakeAddressResponse)(
      const std::vector<std::string> &Addresses,
      std::chrono::milliseconds Ttl) = nullptr;

  admin_request_result (*ParseAdminRequest)(const net::http_request &Request) =
      nullptr;
  net::http_response (*MakeAdminResponse)(
      const net::http_request &Request,
      const router::admin_response &Answer) = nullptr;

  /// Path and query of a page; the first page has no token.
  std::string (*InstancesTarget)(const std::optional<std::string> &Token) =
      nullptr;
  /// Nothing when the page as a whole cannot be read.
  std::optional<instance_page> (*ParseInstancePage)(const std::string &Body) =
      nullptr;
};

} // namespace arbutus::traffic

#endif
