#include "cli/api_client.h"

#include <array>
#include <cctype>
#include <cstdio>
#include <random>
#include <string_view>
#include <utility>

namespace arbutus::cli {

namespace {

/// With a second between rounds this covers an election of up to 1.6 s and
/// the time that a client needs to find the new leader.
constexpr int Rounds = 5;
constexpr int Unavailable = 503;

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

std::string textField(const json &Object, const char *Key) {
  return Object.is_object() && Object.contains(Key) && Object[Key].is_string()
             ? Object[Key].get<std::string>()
             : std::string();
}

std::string percentEncoded(const std::string &Text) {
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

/// Reads `{"error":{"type","message","details":[...]}}`.
api_failure refusal(const api_answer &Answer) {
  const auto Body = json::parse(Answer.Body, nullptr, false);
  const auto Error = Body.is_object() && Body.contains("error")
                         ? Body["error"]
                         : json::object();
  api_failure Failure{exit_code::Refused, Answer.Status,
                      textField(Error, "type"), textField(Error, "message")};
  if (Failure.Message.empty()) {
    Failure.Message = "status " + std::to_string(Answer.Status);
  }
  if (Error.is_object() && Error.contains("details")) {
    for (const auto &Detail : Error["details"]) {
      Failure.Message += "\n  " + (Detail.is_object() && Detail.contains("path")
                                       ? textField(Detail, "path") + ": " +
                                             textField(Detail, "message")
                                       : Detail.dump());
    }
  }
  return Failure;
}

api_result<json> parsed(api_result<std::string> &&Text) {
  if (Text.has_error()) {
    return Text.error();
  }
  auto Body = json::parse(Text.value(), nullptr, false);
  if (Body.is_discarded()) {
    return api_failure{exit_code::Refused, 200, "malformed_answer",
                       "the answer is not JSON"};
  }
  return Body;
}

} // namespace

std::string targetOf(const std::string &Kind, const std::string &Name) {
  return "/api/v1/" + percentEncoded(Kind) +
         (Name.empty() ? "" : "/" + percentEncoded(Name));
}

api_client::api_client(std::vector<std::string> Servers,
                       http_transport Transport, std::function<void()> Wait)
    : Servers(std::move(Servers)), Transport(std::move(Transport)),
      Wait(std::move(Wait)) {}

api_result<json> api_client::get(const std::string &Target) {
  return parsed(call({"GET", Target, "", ""}));
}

api_result<json> api_client::put(const std::string &Kind,
                                 const std::string &Name, std::uint64_t Version,
                                 const json &Spec) {
  const json Body = {{"version", Version}, {"spec", Spec}};
  return parsed(
      call({"PUT", targetOf(Kind, Name), Body.dump(), newRequestId()}));
}

api_result<json> api_client::erase(const std::string &Kind,
                                   const std::string &Name,
                                   std::uint64_t Version) {
  return parsed(call(
      {"DELETE", targetOf(Kind, Name) + "?version=" + std::to_string(Version),
       "", newRequestId()}));
}

api_result<std::string> api_client::call(const api_call &Call) {
  const bool IsWrite = Call.Method != "GET";
  bool MayHaveRun = false;
  std::string Faults;
  for (int Round = 0; Round < Rounds; ++Round) {
    if (Round > 0) {
      Wait();
    }
    bool IsWorthWaiting = false;
    Faults.clear();
    for (const auto &Server : Servers) {
      auto Answer = Transport(Server, Call);
      if (Answer.Delivery == delivery::Answered &&
          Answer.Status != Unavailable) {
        if (Answer.Status >= 200 && Answer.Status < 300) {
          return std::move(Answer.Body);
        }
        return refusal(Answer);
      }
      const bool IsNotSent = Answer.Delivery == delivery::NotSent;
      MayHaveRun = MayHaveRun || (IsWrite && !IsNotSent);
      IsWorthWaiting = IsWorthWaiting || !IsNotSent;
      Faults += "\n  " + Server + ": " +
                (Answer.Delivery == delivery::Answered ? refusal(Answer).Message
                                                       : Answer.Reason);
    }
    if (!IsWorthWaiting && !MayHaveRun) {
      break;
    }
  }
  if (MayHaveRun) {
    return api_failure{exit_code::Unknown, 0, "unknown",
                       "the answer is lost; the write may be in force" +
                           Faults};
  }
  return api_failure{exit_code::NoServer, 0, "no_server",
                     "no server could be reached" + Faults};
}

} // namespace arbutus::cli
