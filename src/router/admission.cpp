#include "router/admission.h"

#include "base/digest.h"
#include "base/json_reader.h"
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutus::router {

namespace {

constexpr std::string_view ChatTarget = "/v1/chat/completions";
constexpr std::string_view ServicePrefix = "/services/";
constexpr std::size_t MaxRequestIdBytes = 128;
constexpr std::size_t MaxIdempotencyKeyBytes = 256;

/// Used to estimate the cost of a prompt until the upstream reports its usage.
constexpr double BytesPerToken = 4;
/// Share of `max_tokens` that is charged before the output length is known.
constexpr double EstimatedOutputShare = 0.5;
constexpr double DefaultMaxTokens = 256;

/// True for headers that are not copied to the upstream: they belong to one
/// connection, carry the caller's API key, or are set by this router.
bool isNotForwarded(std::string_view Name) {
  static constexpr std::string_view Names[] = {"connection",
                                               "keep-alive",
                                               "proxy-authenticate",
                                               "proxy-connection",
                                               "te",
                                               "trailer",
                                               "upgrade",
                                               "authorization",
                                               "transfer-encoding",
                                               "content-length",
                                               "host",
                                               "expect",
                                               "x-request-id",
                                               "proxy-authorization"};
  return std::any_of(std::begin(Names), std::end(Names), [&](auto Known) {
    return net::sameHeaderName(Name, Known);
  });
}

std::string_view bearerKey(const net::http_request &Request) {
  const std::string_view Value =
      net::headerOf(Request.Headers, "Authorization");
  static constexpr std::string_view Scheme = "bearer ";
  if (Value.size() <= Scheme.size() ||
      !net::sameHeaderName(Value.substr(0, Scheme.size()), Scheme)) {
    return {};
  }
  return Value.substr(Scheme.size());
}

std::size_t totalHeaderBytes(const net::http_request &Request) {
  std::size_t Sum = Request.Target.size();
  for (const auto &[Name, Value] : Request.Headers) {
    Sum += Name.size() + Value.size();
  }
  return Sum;
}

/// Parses a chat completion request, finds its service and sets the request id
/// that the engine returns in its response.
result<void, request_error> parseChatRequest(routed_request &Request) {
  auto Read = readJson(Request.Body, jsonLimits());
  if (Read.has_error()) {
    return Read.error() == json_error::TooLarge ? request_error::BodyTooLarge
                                                : request_error::MalformedBody;
  }
  auto Json = std::move(Read).value();
  if (!Json.is_object() || !Json.contains("model") ||
      !Json["model"].is_string() || !Json.contains("messages") ||
      !Json["messages"].is_array()) {
    return request_error::MalformedBody;
  }
  Request.Service = Request.View->serviceByModel(
      Json["model"].get_ref<const std::string &>());
  if (Request.Service == nullptr) {
    return request_error::UnknownModel;
  }
  const auto Stream = Json.find("stream");
  if (Stream != Json.end() && !Stream->is_boolean()) {
    return request_error::MalformedBody;
  }
  Request.IsStreaming = Stream != Json.end() && Stream->get<bool>();
  double MaxTokens = DefaultMaxTokens;
  if (const auto It = Json.find("max_tokens"); It != Json.end()) {
    if (!It->is_number_unsigned() || *It == 0) {
      return request_error::MalformedBody;
    }
    MaxTokens = It->get<double>();
  }
  Request.EstimatedCost =
      static_cast<double>(Request.Body.size()) / BytesPerToken +
      EstimatedOutputShare * MaxTokens;
  Json["request_id"] = Request.UpstreamRequestId;
  Request.Body =
      Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Request.IsModelRequest = true;
  Request.Idempotent = true; // generating text has no side effects
  Request.Target = ChatTarget;
  Request.Deadline = Request.Arrived + std::chrono::milliseconds(
                                           Request.Service->Spec->DeadlineMs);
  return outcome::success();
}

/// Finds the service and the route of `/services/<service>/<path>`.
result<void, request_error> resolveServiceRoute(routed_request &Request) {
  const std::string &Target = Request.Exchange->request().Target;
  const std::string_view Rest =
      std::string_view(Target).substr(ServicePrefix.size());
  const std::string_view Name = Rest.substr(0, Rest.find_first_of("/?"));
  Request.Service = Request.View->serviceByName(Name);
  if (Request.Service == nullptr) {
    return request_error::UnknownService;
  }
  Request.Target = Rest.substr(Name.size());
  const auto Match =
      Request.Service->match(Request.Method, net::pathOf(Request.Target));
  if (!Match) {
    return request_error::UnknownRoute;
  }
  Request.Idempotent = Match->Idempotent;
  Request.Deadline =
      Request.Arrived + std::chrono::milliseconds(Match->DeadlineMs);
  return outcome::success();
}

/// Prepares the claim of a non-idempotent request with an idempotency key.
void prepareClaim(routed_request &Request) {
  const std::string_view Key =
      net::headerOf(Request.Exchange->request().Headers, "Idempotency-Key");
  if (Request.Idempotent || Key.empty()) {
    return;
  }
  store::claim_command Claim;
  Claim.Key = {Request.Team->Id, std::string(Request.Service->Name),
               std::string(Key)};
  Claim.RequestHash =
      sha256Hex(Request.Method + "\n" + Request.Target + "\n" + Request.Body);
  Claim.Owner = {Request.Context.Node, Request.Context.Incarnation.load(),
                 Request.Id};
  Request.Claim = std::move(Claim);
}

result<void, request_error> resolveTarget(routed_request &Request) {
  const std::string &Target = Request.Exchange->request().Target;
  if (net::pathOf(Target) == ChatTarget) {
    return Request.Method == "POST" ? parseChatRequest(Request)
                                    : request_error::UnknownRoute;
  }
  return resolveServiceRoute(Request);
}

result<void, request_error> checkSizes(const routed_request &Request) {
  const auto &Http = Request.Exchange->request();
  if (totalHeaderBytes(Http) > Request.Context.MaxHeaderBytes ||
      net::headerOf(Http.Headers, "Idempotency-Key").size() >
          MaxIdempotencyKeyBytes) {
    return request_error::HeaderTooLarge;
  }
  const std::size_t MaxBodyBytes = std::min<std::size_t>(
      Request.Context.MaxBodyBytes, Request.Team->Spec->BodyBytes);
  if (Http.Body.size() > MaxBodyBytes) {
    return request_error::BodyTooLarge;
  }
  return outcome::success();
}

void copyHeaders(routed_request &Request) {
  for (const auto &[Name, Value] : Request.Exchange->request().Headers) {
    if (!isNotForwarded(Name)) {
      Request.Headers.emplace_back(Name, Value);
    }
  }
  Request.Headers.emplace_back("X-Request-Id", Request.UpstreamRequestId);
}

} // namespace

bool isProxiedPath(std::string_view Target) noexcept {
  return net::pathOf(Target) == ChatTarget ||
         Target.substr(0, ServicePrefix.size()) == ServicePrefix;
}

std::string callerRequestId(const net::http_request &Request,
                            const std::string &Fallback) {
  const std::string_view Given = net::headerOf(Request.Headers, "X-Request-Id");
  const bool Valid =
      !Given.empty() && Given.size() <= MaxRequestIdBytes &&
      std::all_of(Given.begin(), Given.end(), [](unsigned char C) {
        return std::isalnum(C) != 0 || C == '-' || C == '_' || C == '.';
      });
  return Valid ? std::string(Given) : Fallback;
}

result<request_ptr, request_error>
admitRequest(router_context &Context, shard &Shard,
             const std::shared_ptr<net::http_exchange> &Exchange) {
  auto Request = std::make_shared<routed_request>(Context, Shard, Exchange);
  Request->Arrived = monotonic_clock::now();
  Request->Id = Context.LastRequestId.fetch_add(1) + 1;
  Request->UpstreamRequestId =
      fmt::format("{}-{:x}-{}", number(Context.Node),
                  number(Context.Incarnation.load()), Request->Id);
  Request->CallerRequestId =
      callerRequestId(Exchange->request(), Request->UpstreamRequestId);
  Request->Method = Exchange->request().Method;
  if (!holdsLease(Context, Request->Arrived)) {
    return request_error::NotServing;
  }
  if (Context.Drain.load() == drain_phase::Draining) {
    return request_error::ShuttingDown;
  }
  Request->View =
      Context.Routing.read([](const routing_state &S) { return S.View; });
  const std::string_view Key = bearerKey(Exchange->request());
  Request->Team =
      Key.empty() ? nullptr : Request->View->teamByKeyHash(sha256Hex(Key));
  if (Request->Team == nullptr) {
    return request_error::InvalidKey;
  }
  if (const auto Checked = checkSizes(*Request); Checked.has_error()) {
    return Checked.error();
  }
  copyHeaders(*Request);
  Request->Body = Exchange->takeBody();
  if (const auto Read = resolveTarget(*Request); Read.has_error()) {
    return Read.error();
  }
  if (!Request->Team->mayUse(Request->Service->Name)) {
    return request_error::ServiceNotAllowed;
  }
  prepareClaim(*Request);
  return Request;
}

} // namespace arbutus::router
