#include "router/router_metrics.h"

#include <prometheus/text_serializer.h>

namespace arbutus::router {

namespace {

prometheus::Counter &addCounter(prometheus::Registry &Registry,
                                const char *Name, const char *Help) {
  return prometheus::BuildCounter()
      .Name(Name)
      .Help(Help)
      .Register(Registry)
      .Add({});
}

/// Returns the upper bounds of the buckets in seconds, each twice the one
/// before.
prometheus::Histogram::BucketBoundaries latencyBounds() {
  constexpr double FirstBoundSeconds = 0.005;
  constexpr int Count = 12;
  prometheus::Histogram::BucketBoundaries Bounds;
  for (int I = 0; I < Count; ++I) {
    Bounds.push_back(FirstBoundSeconds * (1U << I));
  }
  return Bounds;
}

} // namespace

router_metrics::router_metrics()
    : Responses(&addCounter(Registry, "arbutus_answers_total",
                            "Answers of upstreams passed on")),
      Retries(&addCounter(Registry, "arbutus_retries_total",
                          "Calls repeated on another upstream")),
      Resumes(&addCounter(Registry, "arbutus_stream_resumes_total",
                          "Broken streams continued")),
      Tokens(&addCounter(Registry, "arbutus_output_tokens_total",
                         "Output tokens passed to callers")),
      InvalidResponses(
          &addCounter(Registry, "arbutus_invalid_answers_total",
                      "Answers for another request, or malformed")),
      StreamBytes(&addCounter(Registry, "arbutus_stream_bytes_total",
                              "Bytes of event streams received")),
      StreamBytesSearched(
          &addCounter(Registry, "arbutus_stream_searched_bytes_total",
                      "Bytes searched for the ends of their events")) {
  auto &Family = prometheus::BuildCounter()
                     .Name("arbutus_request_errors_total")
                     .Help("Requests answered with an error, by type")
                     .Register(Registry);
  for (const auto &Row : name_table<request_error>::Rows) {
    Errors[Row.Value] = &Family.Add({{"type", std::string(Row.Name)}});
  }
  auto &Hedging = prometheus::BuildCounter()
                      .Name("arbutus_second_attempts_total")
                      .Help("Second attempts, or why none was sent")
                      .Register(Registry);
  for (const auto &Row : name_table<balance::hedge_verdict>::Rows) {
    Hedges[Row.Value] = &Hedging.Add({{"verdict", std::string(Row.Name)}});
  }
  auto &Times = prometheus::BuildHistogram()
                    .Name("arbutus_request_seconds")
                    .Help("Time of requests by stage, in seconds")
                    .Register(Registry);
  for (const auto &Row : name_table<latency_stage>::Rows) {
    Latencies[Row.Value] =
        &Times.Add({{"stage", std::string(Row.Name)}}, latencyBounds());
  }
}

void router_metrics::observe(latency_stage Stage, duration Time) {
  Latencies.at(Stage)->Observe(toSeconds(Time));
}

void router_metrics::countStreamWork(const read_work &Work) noexcept {
  StreamBytes->Increment(static_cast<double>(Work.ReceivedBytes));
  StreamBytesSearched->Increment(static_cast<double>(Work.SearchedBytes));
}

void router_metrics::countError(request_error Error) noexcept {
  if (const auto It = Errors.find(Error); It != Errors.end()) {
    It->second->Increment();
  }
}

void router_metrics::countHedge(balance::hedge_verdict Verdict) noexcept {
  if (const auto It = Hedges.find(Verdict); It != Hedges.end()) {
    It->second->Increment();
  }
}

void router_metrics::setGauge(const std::string &Name, const std::string &Help,
                              double Value) {
  prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add({}).Set(
      Value);
}

std::string router_metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace arbutus::router
