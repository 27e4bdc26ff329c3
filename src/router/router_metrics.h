#ifndef ARBUTUS_ROUTER_ROUTER_METRICS_H
#define ARBUTUS_ROUTER_ROUTER_METRICS_H

#include "balance/hedge_policy.h"
#include "base/clock.h"
#include "base/read_work.h"
#include "router/latency_stage.h"
#include "router/request_error.h"
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace arbutus::router {

/// Metrics of the request path. Thread-safe: the metrics are atomic, and the
/// tables do not change after construction.
class router_metrics {
public:
  router_metrics();

  void countResponse() noexcept { Responses->Increment(); }
  /// Counts a second attempt, or why none was sent.
  void countHedge(balance::hedge_verdict Verdict) noexcept;
  void countRetry() noexcept { Retries->Increment(); }
  void countResume() noexcept { Resumes->Increment(); }
  void countTokens(double Count) noexcept { Tokens->Increment(Count); }
  /// Adds what an attempt has done with the event stream of its upstream.
  void countStreamWork(const read_work &Work) noexcept;
  void countInvalidResponse() noexcept { InvalidResponses->Increment(); }
  void countError(request_error Error) noexcept;
  /// Adds the time that a request spent in a stage.
  void observe(latency_stage Stage, duration Time);

  /// Sets a gauge and creates it on first use.
  void setGauge(const std::string &Name, const std::string &Help, double Value);

  /// Returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string text() const;

private:
  prometheus::Registry Registry;
  prometheus::Counter *Responses;
  prometheus::Counter *Retries;
  prometheus::Counter *Resumes;
  prometheus::Counter *Tokens;
  prometheus::Counter *InvalidResponses;
  prometheus::Counter *StreamBytes;
  prometheus::Counter *StreamBytesSearched;
  std::map<request_error, prometheus::Counter *> Errors;
  std::map<balance::hedge_verdict, prometheus::Counter *> Hedges;
  std::map<latency_stage, prometheus::Histogram *> Latencies;
};

} // namespace arbutus::router

#endif
