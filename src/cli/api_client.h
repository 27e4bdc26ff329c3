#ifndef ARBUTUS_CLI_API_CLIENT_H
#define ARBUTUS_CLI_API_CLIENT_H

#include "base/result.h"
#include "cli/exit_code.h"
#include "cli/http_transport.h"
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace arbutus::cli {

/// Why a request did not succeed.
struct api_failure {
  exit_code Code = exit_code::Rejected;
  /// HTTP status; 0 if there is no response.
  int Status = 0;
  /// `error.type` of the response, or the type of a failure that the client
  /// detected.
  std::string Type;
  /// Text for the operator: the server's message and details, or the error of
  /// each server.
  std::string Message;
};

template <class T> using api_result = result<T, api_failure>;

/// Client of the resource API. It tries the servers in order, and for several
/// rounds if a server was reached. A write whose response was lost is retried
/// with the same request id, so that the store executes it only once.
class api_client {
public:
  /// `Wait` is called before each further round over all servers.
  api_client(std::vector<std::string> Servers, http_transport Transport,
             std::function<void()> Wait);

  [[nodiscard]] api_result<nlohmann::json> get(const std::string &Target);
  [[nodiscard]] api_result<nlohmann::json> put(const std::string &Kind,
                                               const std::string &Name,
                                               std::uint64_t Version,
                                               const nlohmann::json &Spec);
  [[nodiscard]] api_result<nlohmann::json> erase(const std::string &Kind,
                                                 const std::string &Name,
                                                 std::uint64_t Version);
  /// Sends a request and returns the response body as text, for example the
  /// lines of a watch.
  [[nodiscard]] api_result<std::string> send(const api_request &Request);

private:
  std::vector<std::string> Servers;
  http_transport Transport;
  std::function<void()> Wait;
};

/// Request target of an object, or of all objects of the kind if `Name` is
/// empty. Reserved characters are percent-encoded.
[[nodiscard]] std::string resourceTarget(const std::string &Kind,
                                         const std::string &Name);

} // namespace arbutus::cli

#endif
