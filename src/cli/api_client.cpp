#include "cli/api_client.h"

#include "base/json_reader.h"

#include <array>
#include <cctype>
#include <cstdio>
#include <random>
#include <string_view>
#include <utility>

namespace arbutus::cli {

namespace {

/// Rounds are 1 s apart. 5 rounds cover an election of up to 1.6 s and the time
/// until the new leader is found.
constexpr int MaxRounds = 5;
constexpr int HttpServiceUnavailable = 503;

using nlohmann::json;

std::string newRequestId() {
  std::random_device Device;
  std::string Id = "cli-";
  for (int I = 0; I < 4; ++I) {
    std::array<char, 9> Text{};
    (void)std::snprintf(Text.data(), Text.size(), "%08x", Device());
    Id += Text.data();
  }
  return Id;
}

std::string stringField(const json &Object, const char *Key) {
  return Object.is_object() && Object.contains(Key) && Object[Key].is_string()
             ? Object[Key].get<std::string>()
             : std::string();
}

std::string percentEncode(const std::string &Text) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (const char Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (std::isalnum(Byte) != 0 ||
        std::string_view("-_.~").find(Character) != std::string_view::npos) {
      Encoded += Character;
    } else {
      Encoded += {'%', Digits[Byte >> 4U], Digits[Byte & 15U]};
    }
  }
  return Encoded;
}

/// Parses `{"error":{"type","message","details":[...]}}`.
api_failure toFailure(const api_response &Response) {
  const auto Body = parseJson(Response.Body);
  const auto Error = Body.is_object() && Body.contains("error")
                         ? Body["error"]
                         : json::object();
  api_failure Failure{exit_code::Rejected, Response.Status,
                      stringField(Error, "type"),
                      stringField(Error, "message")};
  if (Failure.Message.empty()) {
    Failure.Message = "status " + std::to_string(Response.Status);
  }
  if (Error.is_object() && Error.contains("details")) {
    for (const auto &Detail : Error["details"]) {
      Failure.Message += "\n  " + (Detail.is_object() && Detail.contains("path")
                                       ? stringField(Detail, "path") + ": " +
                                             stringField(Detail, "message")
                                       : Detail.dump());
    }
  }
  return Failure;
}

api_result<json> parseAnswer(api_result<std::string> &&Text) {
  if (Text.has_error()) {
    return Text.error();
  }
  auto Body = parseJson(Text.value());
  if (Body.is_discarded()) {
    return api_failure{exit_code::Rejected, 200, "malformed_answer",
                       "the answer is not JSON"};
  }
  return Body;
}

} // namespace

std::string resourceTarget(const std::string &Kind, const std::string &Name) {
  return "/api/v1/" + percentEncode(Kind) +
         (Name.empty() ? "" : "/" + percentEncode(Name));
}

api_client::api_client(std::vector<std::string> Servers,
                       http_transport Transport, std::function<void()> Wait)
    : Servers(std::move(Servers)), Transport(std::move(Transport)),
      Wait(std::move(Wait)) {}

api_result<json> api_client::get(const std::string &Target) {
  return parseAnswer(send({"GET", Target, "", ""}));
}

api_result<json> api_client::put(const std::string &Kind,
                                 const std::string &Name, std::uint64_t Version,
                                 const json &Spec) {
  const json Body = {{"version", Version}, {"spec", Spec}};
  return parseAnswer(
      send({"PUT", resourceTarget(Kind, Name), Body.dump(), newRequestId()}));
}

api_result<json> api_client::erase(const std::string &Kind,
                                   const std::string &Name,
                                   std::uint64_t Version) {
  return parseAnswer(
      send({"DELETE",
            resourceTarget(Kind, Name) + "?version=" + std::to_string(Version),
            "", newRequestId()}));
}

api_result<std::string> api_client::send(const api_request &Request) {
  const bool IsWrite = Request.Method != "GET";
  bool MayHaveExecuted = false;
  std::string ServerErrors;
  for (int Round = 0; Round < MaxRounds; ++Round) {
    if (Round > 0) {
      Wait();
    }
    bool HasReachedServer = false;
    ServerErrors.clear();
    for (const auto &Server : Servers) {
      auto Response = Transport(Server, Request);
      if (Response.Delivery == delivery_status::Completed &&
          Response.Status != HttpServiceUnavailable) {
        if (Response.Status >= 200 && Response.Status < 300) {
          return std::move(Response.Body);
        }
        return toFailure(Response);
      }
      const bool IsNotSent = Response.Delivery == delivery_status::NotSent;
      MayHaveExecuted = MayHaveExecuted || (IsWrite && !IsNotSent);
      HasReachedServer = HasReachedServer || !IsNotSent;
      ServerErrors += "\n  " + Server + ": " +
                      (Response.Delivery == delivery_status::Completed
                           ? toFailure(Response).Message
                           : Response.Reason);
    }
    if (!HasReachedServer && !MayHaveExecuted) {
      break;
    }
  }
  if (MayHaveExecuted) {
    return api_failure{exit_code::UnknownOutcome, 0, "unknown",
                       "the answer is lost; the write may be in force" +
                           ServerErrors};
  }
  return api_failure{exit_code::NoServer, 0, "no_server",
                     "no server could be reached" + ServerErrors};
}

} // namespace arbutus::cli
