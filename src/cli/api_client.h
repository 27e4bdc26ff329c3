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

/// Why a call has no good answer.
struct api_failure {
  exit_code Code = exit_code::Refused;
  /// HTTP status; 0 when no server answered.
  int Status = 0;
  /// `error.type` of the answer.
  std::string Type;
  /// For the operator: server's message and details, or transport faults.
  std::string Message;
};

template <class T> using api_result = result<T, api_failure>;

/// Calls of the resource API. Servers are tried in order; a write whose answer
/// is lost is sent again under the same request id, which the store executes
/// once.
class api_client {
public:
  /// `Wait` is called before another round over all servers.
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
  /// Text of the answer, for the lines of a watch.
  [[nodiscard]] api_result<std::string> call(const api_call &Call);

private:
  std::vector<std::string> Servers;
  http_transport Transport;
  std::function<void()> Wait;
};

/// Path of an object; characters outside a name are percent-encoded.
[[nodiscard]] std::string targetOf(const std::string &Kind,
                                   const std::string &Name);

} // namespace arbutus::cli

#endif
