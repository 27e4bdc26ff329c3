#ifndef ARBUTUS_SETTINGS_ENDPOINT_H
#define ARBUTUS_SETTINGS_ENDPOINT_H

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::settings {

/// A numeric IP address and a port. Names are not accepted, because processes
/// must start while no name server answers.
struct endpoint {
  std::string Ip;
  /// 0 lets the system choose a port; only listeners may use it.
  std::uint16_t Port = 0;

  [[nodiscard]] bool empty() const noexcept { return Ip.empty(); }
  /// Returns `ip:port`, with brackets around an IPv6 address, or an empty text.
  [[nodiscard]] std::string toString() const;

  friend bool operator==(const endpoint &, const endpoint &) = default;
};

/// Reads `1.2.3.4:80` or `[::1]:80`; nothing on any other text.
[[nodiscard]] std::optional<endpoint> parseEndpoint(std::string_view Text);

/// Node number that stands for an IPv4 address; nothing for any other text.
[[nodiscard]] std::optional<node_id> nodeOfAddress(std::string_view Ip);

/// The reverse of `nodeOfAddress`.
[[nodiscard]] std::string addressOfNode(node_id Node);

} // namespace arbutus::settings

#endif
