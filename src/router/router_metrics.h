#ifndef ARBUTUS_ROUTER_ROUTER_METRICS_H
#define ARBUTUS_ROUTER_ROUTER_METRICS_H

#include "base/clock.h"
#include "router/latency_stage.h"
#include "router/request_error.h"
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace arbutus::router {

/// Counters of the request path. Counters are atomic; the tables are built
/// once and only read afterwards.
class router_metrics {
public:
  router_metrics();

  void countAnswer() noexcept { Answered->Increment(); }
  void countRetry() noexcept { Retries->Increment(); }
  void countResume() noexcept { Resumes->Increment(); }
  void countTokens(double Count) noexcept { Tokens->Increment(Count); }
  void countInvalidAnswer() noexcept { InvalidAnswers->Increment(); }
  void countError(request_error Error) noexcept;
  /// Adds the time that a request has spent in a stage.
  void observe(latency_stage Stage, duration Time);

  /// Sets a gauge that another part computes when metrics are read.
  void setGauge(const std::string &Name, const std::string &Help, double Value);

  /// All metrics in the Prometheus text format.
  [[nodiscard]] std::string text() const;

private:
  prometheus::Registry Registry;
  prometheus::Counter *Answered;
  prometheus::Counter *Retries;
  prometheus::Counter *Resumes;
  prometheus::Counter *Tokens;
  prometheus::Counter *InvalidAnswers;
  std::map<request_error, prometheus::Counter *> Errors;
  std::map<latency_stage, prometheus::Histogram *> Latencies;
};

} // namespace arbutus::router

#endif
