#include "store/validation.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <string>

namespace arbutus::store {

namespace {

constexpr std::size_t MaxNameBytes = 63;
constexpr std::size_t MaxModelBytes = 128;
constexpr std::size_t MaxPrefixBytes = 256;
constexpr std::size_t MaxApiKeys = 16;
constexpr std::size_t MaxTeamServices = 64;
constexpr std::size_t MaxUpstreamServices = 16;
constexpr std::size_t MaxRoutes = 64;

constexpr std::array<std::string_view, 7> Methods = {
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};

bool isLowerOrDigit(char C) noexcept {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9');
}

bool isName(std::string_view Text) noexcept {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         isLowerOrDigit(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return isLowerOrDigit(C) || C == '-' || C == '_' || C == '.';
         });
}

bool isVisible(char C) noexcept { return C > ' ' && C < 0x7f; }

bool isPort(std::string_view Text) noexcept {
  unsigned Port = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Port);
  return Error == std::errc() && End == Text.data() + Text.size() &&
         Port >= 1 && Port <= 65'535 && Text.front() != '0';
}

/// True for `IP:port` in the canonical form, so that one address has only one
/// spelling and duplicates are found by comparing text.
bool isAddress(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string::npos || !isPort(Text.substr(Colon + 1))) {
    return false;
  }
  const bool Bracketed = Colon > 2 && Text[0] == '[' && Text[Colon - 1] == ']';
  const int Family = Bracketed ? AF_INET6 : AF_INET;
  const std::string Host =
      Bracketed ? Text.substr(1, Colon - 2) : Text.substr(0, Colon);
  std::array<unsigned char, sizeof(in6_addr)> Binary{};
  std::array<char, INET6_ADDRSTRLEN> Canonical{};
  return inet_pton(Family, Host.c_str(), Binary.data()) == 1 &&
         inet_ntop(Family, Binary.data(), Canonical.data(), Canonical.size()) !=
             nullptr &&
         Host == Canonical.data();
}

/// Collects the faults of one spec.
struct value_checker {
  std::vector<field_error> Errors;

  void add(std::string Path, field_code Code, std::string Message) {
    addFault(Errors, {std::move(Path), Code, std::move(Message)});
  }

  template <class T>
  void range(std::string_view Field, T Value, T Least, T Most) {
    // A NaN must not pass, so the condition names what is allowed.
    if (!(Value >= Least && Value <= Most)) {
      add("spec." + std::string(Field), field_code::OutOfRange,
          fmt::format("{} is not between {} and {}", Value, Least, Most));
    }
  }

  void name(std::string Path, std::string_view Value) {
    if (!isName(Value)) {
      add(std::move(Path), field_code::BadFormat,
          fmt::format("a name has 1 to {} characters a-z 0-9 - _ . and starts "
                      "with a letter or digit",
                      MaxNameBytes));
    }
  }

  void names(std::string_view Field, const std::vector<std::string> &Values,
             std::size_t Least, std::size_t Most) {
    const std::string Path = "spec." + std::string(Field);
    size(Path, Values.size(), Least, Most);
    std::set<std::string_view> Seen;
    for (std::size_t I = 0; I < Values.size() && I < Most; ++I) {
      const std::string Entry = fmt::format("{}[{}]", Path, I);
      name(Entry, Values[I]);
      unique(Entry, Seen, Values[I]);
    }
  }

  void size(const std::string &Path, std::size_t Size, std::size_t Least,
            std::size_t Most) {
    if (Size < Least || Size > Most) {
      add(Path, field_code::OutOfRange,
          fmt::format("{} entries; allowed are {} to {}", Size, Least, Most));
    }
  }

  void unique(const std::string &Path, std::set<std::string_view> &Seen,
              std::string_view Value) {
    if (!Seen.insert(Value).second) {
      add(Path, field_code::Duplicate,
          fmt::format("\"{}\" appears twice", Value));
    }
  }

  void operator()(const team &Spec) {
    range("weight", Spec.Weight, 1U, 1'000U);
    size("spec.api_key_hashes", Spec.ApiKeyHashes.size(), 0, MaxApiKeys);
    std::set<std::string_view> Seen;
    for (std::size_t I = 0; I < Spec.ApiKeyHashes.size() && I < MaxApiKeys;
         ++I) {
      const auto &Hash = Spec.ApiKeyHashes[I];
      const std::string Path = fmt::format("spec.api_key_hashes[{}]", I);
      if (Hash.size() != 64 ||
          Hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
        // The value is left out, because it may be a key entered by mistake.
        add(Path, field_code::BadFormat,
            "a key hash is a SHA-256 as 64 lower-case hexadecimal digits");
      }
      unique(Path, Seen, Hash);
    }
    names("services", Spec.Services, 0, MaxTeamServices);
    range("queue_length", Spec.QueueLength, 1U, 100'000U);
    range<std::uint64_t>("body_bytes", Spec.BodyBytes, 1, 67'108'864);
  }

  void operator()(const upstream &Spec) {
    if (!isAddress(Spec.Address)) {
      add("spec.address", field_code::BadFormat,
          "an address is IPv4:port or [IPv6]:port in its shortest form");
    }
    name("spec.failure_domain", Spec.FailureDomain);
    names("services", Spec.Services, 1, MaxUpstreamServices);
    range("max_concurrent", Spec.MaxConcurrent, 1U, 65'536U);
    known("state", Spec.State);
  }

  void operator()(const failure_domain &Spec) {
    name("spec.region", Spec.Region);
    known("state", Spec.State);
  }

  void operator()(const service &Spec) {
    known("kind", Spec.Kind);
    checkModel(Spec);
    size("spec.routes", Spec.Routes.size(), 0, MaxRoutes);
    std::set<std::pair<std::string_view, std::string_view>> Seen;
    for (std::size_t I = 0; I < Spec.Routes.size() && I < MaxRoutes; ++I) {
      const auto &Route = Spec.Routes[I];
      const std::string Path = fmt::format("spec.routes[{}]", I);
      checkRoute(Path, Route);
      if (!Seen.insert({Route.Method, Route.PathPrefix}).second) {
        add(Path, field_code::Duplicate,
            fmt::format("{} {} appears twice", Route.Method, Route.PathPrefix));
      }
    }
    range("deadline_ms", Spec.DeadlineMs, 1U, 3'600'000U);
    range("first_limit", Spec.FirstLimit, 1U, 65'536U);
    range("growth", Spec.Growth, 1.01, 4.0);
    range("warm_requests", Spec.WarmRequests, 0U, 100'000U);
  }

  void operator()(const policy &Spec) {
    range("retry_budget_percent", Spec.RetryBudgetPercent, 0U, 100U);
    range("claim_retention_s", Spec.ClaimRetentionS, 60U, 604'800U);
    range("address_ttl_ms", Spec.AddressTtlMs, 100U, 3'600'000U);
  }

  void operator()(const pool & /*Spec*/) {
    add("kind", field_code::NotAllowed,
        "a pool is derived from its service and cannot be written");
  }

  void operator()(const fleet_config & /*Spec*/) {
    add("kind", field_code::NotAllowed,
        "a configuration is replaced whole, without a name");
  }

  void operator()(const instance & /*Spec*/) {
    add("kind", field_code::NotAllowed,
        "instances come from discovery and cannot be written");
  }

  void operator()(const quarantine & /*Spec*/) {
    add("kind", field_code::NotAllowed,
        "quarantines follow from crashes and can only be deleted");
  }

  void operator()(const rollout & /*Spec*/) {
    add("kind", field_code::NotAllowed,
        "a rollout is started and aborted by orders of its own");
  }

private:
  template <class Enum> void known(std::string_view Field, Enum Value) {
    if (nameOf(Value) == "invalid") {
      add("spec." + std::string(Field), field_code::UnknownValue,
          fmt::format("{} has no name", static_cast<int>(Value)));
    }
  }

  void checkModel(const service &Spec) {
    if (Spec.Kind == service_kind::Model && Spec.Model.empty()) {
      add("spec.model", field_code::Missing, "a model service names its model");
    } else if (Spec.Kind != service_kind::Model && !Spec.Model.empty()) {
      add("spec.model", field_code::NotAllowed,
          "only a service of kind model has a model");
    } else if (Spec.Model.size() > MaxModelBytes ||
               !std::all_of(Spec.Model.begin(), Spec.Model.end(), isVisible)) {
      add("spec.model", field_code::BadFormat,
          fmt::format("a model name has at most {} visible ASCII characters",
                      MaxModelBytes));
    }
  }

  void checkRoute(const std::string &Path, const route &Route) {
    if (std::find(Methods.begin(), Methods.end(), Route.Method) ==
        Methods.end()) {
      add(Path + ".method", field_code::UnknownValue,
          "a method is GET, HEAD, POST, PUT, DELETE, PATCH or OPTIONS");
    }
    const std::string_view Prefix = Route.PathPrefix;
    const bool Plain = Prefix.find_first_of("?#%") == std::string_view::npos &&
                       Prefix.find("//") == std::string_view::npos &&
                       Prefix.find("/.") == std::string_view::npos;
    if (Prefix.empty() || Prefix.front() != '/' || !Plain ||
        Prefix.size() > MaxPrefixBytes ||
        !std::all_of(Prefix.begin(), Prefix.end(), isVisible)) {
      add(Path + ".path_prefix", field_code::BadFormat,
          fmt::format("a prefix starts with / and has at most {} visible ASCII "
                      "characters without ? # % // and /.",
                      MaxPrefixBytes));
    }
  }
};

} // namespace

std::vector<field_error> checkValues(std::string_view Name,
                                     const resource_spec &Spec) {
  value_checker Checker;
  Checker.name("name", Name);
  if (kindOf(Spec) == resource_kind::Policy && Name != PolicyName) {
    Checker.add("name", field_code::NotAllowed,
                fmt::format("the only policy is named \"{}\"", PolicyName));
  }
  std::visit(Checker, Spec.Value);
  return std::move(Checker.Errors);
}

std::vector<field_error> checkRequestId(std::string_view RequestId) {
  if (RequestId.empty()) {
    return {{"request_id", field_code::Missing, "a write has a request id"}};
  }
  if (RequestId.size() > MaxRequestIdBytes) {
    return {{"request_id", field_code::OutOfRange,
             fmt::format("{} bytes; at most {} are allowed", RequestId.size(),
                         MaxRequestIdBytes)}};
  }
  return {};
}

} // namespace arbutus::store
