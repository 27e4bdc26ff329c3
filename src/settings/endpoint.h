#ifndef ARBUTUS_SETTINGS_ENDPOINT_H
#define ARBUTUS_SETTINGS_ENDPOINT_H

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::settings {

/// A numeric IP address and a port. Host names are not accepted, because
/// processes must be able to start without a name server.
struct endpoint {
  std::string Ip;
  /// 0 lets the system choose a port; only listeners may use it.
  std::uint16_t Port = 0;

  [[nodiscard]] bool empty() const noexcept { return Ip.empty(); }
  /// Returns `ip:port`, with brackets around an IPv6 address, or an empty
  /// string for an empty endpoint.
  [[nodiscard]] std::string toString() const;

  friend bool operator==(const endpoint &, const endpoint &) = default;
};

/// Parses `1.2.3.4:80` or `[::1]:80`; returns nothing for any other text.
[[nodiscard]] std::optional<endpoint> parseEndpoint(std::string_view Text);

/// Returns the node id that is derived from an IPv4 address; nothing for any
/// other text.
[[nodiscard]] std::optional<node_id> nodeIdFromAddress(std::string_view Ip);

/// Inverse of `nodeIdFromAddress`.
[[nodiscard]] std::string nodeIdToAddress(node_id Node);

} // namespace arbutus::settings

#endif
