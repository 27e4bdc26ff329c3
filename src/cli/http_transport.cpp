#include "cli/http_transport.h"

#include <curl/curl.h>

#include <memory>

namespace arbutus::cli {

namespace {

constexpr long ConnectMillis = 2000;
/// Longer than a long poll of the watch and than an election.
constexpr long AnswerMillis = 40000;
constexpr std::size_t LongestAnswerBytes = std::size_t{64} << 20U;

struct curl_deleter {
  void operator()(CURL *Handle) const noexcept { curl_easy_cleanup(Handle); }
  void operator()(curl_slist *List) const noexcept {
    curl_slist_free_all(List);
  }
};

std::size_t append(char *Bytes, std::size_t Size, std::size_t Count,
                   void *Target) {
  auto &Body = *static_cast<std::string *>(Target);
  if (Body.size() + Size * Count > LongestAnswerBytes) {
    return 0;
  }
  Body.append(Bytes, Size * Count);
  return Size * Count;
}

api_answer perform(const std::string &Server, const api_call &Call,
                   const std::string &OperatorKey) {
  static const CURLcode Started = curl_global_init(CURL_GLOBAL_DEFAULT);
  const std::unique_ptr<CURL, curl_deleter> Handle(curl_easy_init());
  if (Started != CURLE_OK || !Handle) {
    return {delivery::NotSent, 0, "", "libcurl cannot start"};
  }
  std::unique_ptr<curl_slist, curl_deleter> Headers;
  const auto AddHeader = [&](const std::string &Header) {
    auto *List = curl_slist_append(Headers.get(), Header.c_str());
    (void)Headers.release();
    Headers.reset(List);
  };
  AddHeader("Content-Type: application/json");
  // Without this, curl waits a second for leave to send a large body.
  AddHeader("Expect:");
  if (!OperatorKey.empty()) {
    AddHeader("Authorization: Bearer " + OperatorKey);
  }
  if (!Call.RequestId.empty()) {
    AddHeader("X-Request-Id: " + Call.RequestId);
  }
  api_answer Answer;
  const std::string Url = "http://" + Server + Call.Target;
  CURL *Curl = Handle.get();
  curl_easy_setopt(Curl, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Curl, CURLOPT_HTTPHEADER, Headers.get());
  curl_easy_setopt(Curl, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
  curl_easy_setopt(Curl, CURLOPT_CONNECTTIMEOUT_MS, ConnectMillis);
  curl_easy_setopt(Curl, CURLOPT_TIMEOUT_MS, AnswerMillis);
  curl_easy_setopt(Curl, CURLOPT_WRITEFUNCTION, append);
  curl_easy_setopt(Curl, CURLOPT_WRITEDATA, &Answer.Body);
  if (!Call.Body.empty()) {
    curl_easy_setopt(Curl, CURLOPT_POSTFIELDS, Call.Body.data());
    curl_easy_setopt(Curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Call.Body.size()));
  }
  const CURLcode Code = curl_easy_perform(Curl);
  long Status = 0;
  curl_off_t Connected = 0;
  curl_easy_getinfo(Curl, CURLINFO_RESPONSE_CODE, &Status);
  curl_easy_getinfo(Curl, CURLINFO_CONNECT_TIME_T, &Connected);
  Answer.Status = static_cast<int>(Status);
  if (Code == CURLE_OK) {
    Answer.Delivery = delivery::Answered;
    return Answer;
  }
  Answer.Delivery = Connected > 0 ? delivery::Lost : delivery::NotSent;
  Answer.Reason = curl_easy_strerror(Code);
  return Answer;
}

} // namespace

http_transport curlTransport(const std::string &OperatorKey) {
  return [OperatorKey](const std::string &Server, const api_call &Call) {
    return perform(Server, Call, OperatorKey);
  };
}

} // namespace arbutus::cli
