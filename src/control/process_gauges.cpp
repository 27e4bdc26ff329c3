#include "control/process_gauges.h"

#include "control/voter.h"

#include <string>
#include <vector>

namespace arbutus::control {

namespace {

void updateRolloutGauges(router::router_metrics &Metrics,
                         const rollout::version_monitor &Versions) {
  rollout::answer_counts Target;
  double RunningOnReplaced = 0;
  for (const auto &Report : Versions.reports()) {
    RunningOnReplaced += Report.RunningOnReplaced;
    for (const auto &[Route, Evidence] : Report.Evidence) {
      for (const auto &[Group, Counts] : Evidence.Target) {
        Target += Counts;
      }
    }
  }
  Metrics.setGauge("arbutus_rollout_target_answers",
                   "Answers of versions that are rolled out",
                   static_cast<double>(Target.Answers));
  Metrics.setGauge("arbutus_rollout_target_failures",
                   "Failures of versions that are rolled out",
                   static_cast<double>(Target.Failures));
  Metrics.setGauge("arbutus_rollout_running_on_replaced",
                   "Requests at upstreams of versions that are replaced",
                   RunningOnReplaced);
}

} // namespace

void updateBodyGauges(router::router_metrics &Metrics,
                      const std::vector<const net::body_memory *> &Bodies) {
  double Used = 0;
  double Evicted = 0;
  double Refused = 0;
  for (const auto *Memory : Bodies) {
    Used += static_cast<double>(Memory->usedBytes());
    Evicted += static_cast<double>(Memory->evicted());
    Refused += static_cast<double>(Memory->refused());
  }
  Metrics.setGauge("arbutus_body_bytes", "Memory of request bodies", Used);
  Metrics.setGauge("arbutus_bodies_evicted", "Bodies that gave way to others",
                   Evicted);
  Metrics.setGauge("arbutus_bodies_refused", "Bodies that found no room",
                   Refused);
}

void updateGauges(router::router_metrics &Metrics,
                  const router::router_context &Context,
                  const net::peer_mesh &Mesh, const voter *Voter) {
  Metrics.setGauge("arbutus_active_requests", "Requests not yet answered",
                   static_cast<double>(Context.ActiveRequests.load()));
  Metrics.setGauge("arbutus_waiting_requests", "Requests waiting for a slot",
                   static_cast<double>(Context.Pools.waiting()));
  Metrics.setGauge("arbutus_in_flight_requests", "Requests at an upstream",
                   static_cast<double>(Context.Pools.inFlight()));
  Metrics.setGauge("arbutus_lease_seconds", "Time left of the session lease",
                   static_cast<double>(Context.LeaseUntilUs.load() -
                                       toMicros(monotonic_clock::now())) /
                       1e6);
  const auto Revision = Context.Routing.read(
      [](const auto &State) { return number(State.View->currentRevision()); });
  Metrics.setGauge("arbutus_config_revision", "Configuration in force",
                   static_cast<double>(Revision));
  updateRolloutGauges(Metrics, Context.Versions);
  const auto Counters = Mesh.counters();
  double Sent = 0;
  double Received = 0;
  for (const auto &Kind : Counters.Kinds) {
    Sent += static_cast<double>(Kind.BytesSent);
    Received += static_cast<double>(Kind.BytesReceived);
  }
  Metrics.setGauge("arbutus_mesh_bytes_sent", "Bytes sent to peers", Sent);
  Metrics.setGauge("arbutus_mesh_bytes_received", "Bytes received from peers",
                   Received);
  for (const auto &Row : name_table<net::message_kind>::Rows) {
    Metrics.setGauge("arbutus_mesh_bytes_sent_" + std::string(Row.Name),
                     "Bytes sent to peers in messages of this kind",
                     static_cast<double>(Counters.of(Row.Value).BytesSent));
  }
  for (const auto &Row : name_table<net::mesh_drop>::Rows) {
    Metrics.setGauge("arbutus_mesh_dropped_" + std::string(Row.Name),
                     "Frames dropped for this reason",
                     static_cast<double>(Counters.of(Row.Value)));
  }
  if (Voter != nullptr) {
    const auto Status = Voter->status();
    Metrics.setGauge("arbutus_leader", "1 while this voter leads",
                     Status.IsLeader ? 1 : 0);
    Metrics.setGauge("arbutus_term", "Consensus term",
                     static_cast<double>(Status.Term));
    Metrics.setGauge("arbutus_log_applied", "Last applied log entry",
                     static_cast<double>(Status.AppliedIndex));
    Metrics.setGauge("arbutus_log_bytes", "Size of the log on disk",
                     static_cast<double>(Status.LogBytes));
    Metrics.setGauge("arbutus_storage_failed", "1 after a storage failure",
                     Status.StorageFailed ? 1 : 0);
  }
}

} // namespace arbutus::control
