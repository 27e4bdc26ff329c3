#ifndef ARBUTUS_CLI_HTTP_TRANSPORT_H
#define ARBUTUS_CLI_HTTP_TRANSPORT_H

#include <functional>
#include <string>

namespace arbutus::cli {

struct api_call {
  std::string Method;
  /// Path and query.
  std::string Target;
  std::string Body;
  /// Empty for reads.
  std::string RequestId;
};

enum class delivery {
  /// The answer is complete.
  Answered,
  /// No connection was made, so the server has not seen the call.
  NotSent,
  /// The call may have reached the server, but no complete answer came back.
  Lost,
};

struct api_answer {
  delivery Delivery = delivery::NotSent;
  int Status = 0;
  std::string Body;
  /// Why there is no answer.
  std::string Reason;
};

/// Sends one call to one server and waits for its answer.
using http_transport =
    std::function<api_answer(const std::string &Server, const api_call &Call)>;

/// Transport by libcurl that sends the operator key as a bearer token. An empty
/// key sends none.
[[nodiscard]] http_transport curlTransport(const std::string &OperatorKey);

} // namespace arbutus::cli

#endif
