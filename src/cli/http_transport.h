#ifndef ARBUTUS_CLI_HTTP_TRANSPORT_H
#define ARBUTUS_CLI_HTTP_TRANSPORT_H

#include <functional>
#include <string>

namespace arbutus::cli {

struct api_request {
  std::string Method;
  /// Path and query.
  std::string Target;
  std::string Body;
  /// Empty for reads.
  std::string RequestId;
};

enum class delivery_status {
  /// A complete response was received.
  Completed,
  /// No connection was established, so the server has not received the request.
  NotSent,
  /// The server may have received the request, but no complete response was
  /// received.
  ResponseLost,
};

struct api_response {
  delivery_status Delivery = delivery_status::NotSent;
  int Status = 0;
  std::string Body;
  /// Why there is no response.
  std::string Reason;
};

/// Sends a request to a server and waits for the response.
using http_transport = std::function<api_response(const std::string &Server,
                                                  const api_request &Request)>;

/// Transport that uses libcurl and sends the operator key as a bearer token. If
/// the key is empty, no token is sent.
[[nodiscard]] http_transport curlTransport(const std::string &OperatorKey);

} // namespace arbutus::cli

#endif
