#ifndef ARBUTUS_NET_HTTP_MESSAGE_H
#define ARBUTUS_NET_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutus::net {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// A whole HTTP request. `Target` is path and query as received.
struct http_request {
  std::string Method;
  std::string Target;
  http_headers Headers;
  std::string Body;
  std::string RemoteAddress;
  /// The announced length of the body is above the limit; the body was not
  /// read.
  bool BodyTooLong = false;
};

/// A whole HTTP answer. Content-Length and Connection are added by the server.
struct http_response {
  int Status = 200;
  http_headers Headers;
  std::string Body;
  /// Closes the connection after the answer, and says so.
  bool Close = false;
};

/// Value of the first header with this name, compared without case, or "".
[[nodiscard]] std::string_view headerOf(const http_headers &Headers,
                                        std::string_view Name) noexcept;

/// True if both names are equal when case is ignored.
[[nodiscard]] bool sameHeaderName(std::string_view Left,
                                  std::string_view Right) noexcept;

/// Path without the query.
[[nodiscard]] std::string_view pathOf(std::string_view Target) noexcept;

/// Value of a query parameter, percent-decoded, or "" when absent.
[[nodiscard]] std::string queryValue(std::string_view Target,
                                     std::string_view Name);

} // namespace arbutus::net

#endif
