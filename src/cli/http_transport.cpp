#include "cli/http_transport.h"

#include "net/answer_head.h"
#include <curl/curl.h>

#include <memory>
#include <string_view>

namespace arbutus::cli {

namespace {

constexpr long ConnectTimeoutMs = 2000;
/// Longer than a long poll of `watch` and longer than an election.
constexpr long RequestTimeoutMs = 40000;
constexpr std::size_t MaxResponseBytes = std::size_t{64} << 20U;

struct curl_deleter {
  void operator()(CURL *Handle) const noexcept { curl_easy_cleanup(Handle); }
  void operator()(curl_slist *List) const noexcept {
    curl_slist_free_all(List);
  }
};

std::size_t appendBody(char *Bytes, std::size_t Size, std::size_t Count,
                       void *Target) {
  auto &Body = *static_cast<std::string *>(Target);
  if (Body.size() + Size * Count > MaxResponseBytes) {
    return 0;
  }
  Body.append(Bytes, Size * Count);
  return Size * Count;
}

/// Receives one line of a head or of a trailer, with its end, and ends the
/// transfer if it is none of HTTP: libcurl takes more than that.
std::size_t checkHeadLine(char *Bytes, std::size_t Size, std::size_t Count,
                          void *Target) {
  auto &Head = *static_cast<net::answer_head *>(Target);
  const std::string_view Line(Bytes, Size * Count);
  if (Head.State == net::head_state::Complete && Line.starts_with("HTTP/")) {
    Head = {}; // of the answer behind an interim one
  }
  net::readHead(Head, Line);
  return net::isBroken(Head) ? 0 : Line.size();
}

api_response performRequest(const std::string &Server,
                            const api_request &Request,
                            const std::string &OperatorKey) {
  static const CURLcode InitResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  const std::unique_ptr<CURL, curl_deleter> Handle(curl_easy_init());
  if (InitResult != CURLE_OK || !Handle) {
    return {delivery_status::NotSent, 0, "", "libcurl cannot start"};
  }
  std::unique_ptr<curl_slist, curl_deleter> Headers;
  const auto AddHeader = [&](const std::string &Header) {
    auto *List = curl_slist_append(Headers.get(), Header.c_str());
    (void)Headers.release();
    Headers.reset(List);
  };
  AddHeader("Content-Type: application/json");
  // An empty `Expect` prevents curl from sending `Expect: 100-continue` and
  // waiting up to 1 s before it sends a large body.
  AddHeader("Expect:");
  if (!OperatorKey.empty()) {
    AddHeader("Authorization: Bearer " + OperatorKey);
  }
  if (!Request.RequestId.empty()) {
    AddHeader("X-Request-Id: " + Request.RequestId);
  }
  api_response Response;
  net::answer_head Head;
  const std::string Url = "http://" + Server + Request.Target;
  CURL *Curl = Handle.get();
  curl_easy_setopt(Curl, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Curl, CURLOPT_HTTPHEADER, Headers.get());
  curl_easy_setopt(Curl, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  curl_easy_setopt(Curl, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
  curl_easy_setopt(Curl, CURLOPT_TIMEOUT_MS, RequestTimeoutMs);
  curl_easy_setopt(Curl, CURLOPT_HEADERFUNCTION, checkHeadLine);
  curl_easy_setopt(Curl, CURLOPT_HEADERDATA, &Head);
  curl_easy_setopt(Curl, CURLOPT_WRITEFUNCTION, appendBody);
  curl_easy_setopt(Curl, CURLOPT_WRITEDATA, &Response.Body);
  if (!Request.Body.empty()) {
    curl_easy_setopt(Curl, CURLOPT_POSTFIELDS, Request.Body.data());
    curl_easy_setopt(Curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.Body.size()));
  }
  const CURLcode Code = curl_easy_perform(Curl);
  long Status = 0;
  curl_off_t ConnectTimeUs = 0;
  curl_easy_getinfo(Curl, CURLINFO_RESPONSE_CODE, &Status);
  curl_easy_getinfo(Curl, CURLINFO_CONNECT_TIME_T, &ConnectTimeUs);
  Response.Status = static_cast<int>(Status);
  if (Code == CURLE_OK) {
    Response.Delivery = delivery_status::Completed;
    return Response;
  }
  Response.Delivery = ConnectTimeUs > 0 ? delivery_status::ResponseLost
                                        : delivery_status::NotSent;
  Response.Reason = net::isBroken(Head) ? "unreadable answer: " +
                                              std::string(nameOf(Head.State))
                                        : curl_easy_strerror(Code);
  return Response;
}

} // namespace

http_transport curlTransport(const std::string &OperatorKey) {
  return [OperatorKey](const std::string &Server, const api_request &Request) {
    return performRequest(Server, Request, OperatorKey);
  };
}

} // namespace arbutus::cli
