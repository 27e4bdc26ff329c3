// Processor time of a frame that one mesh sends and another answers, at a rate
// like that of one busy router.
#include "net/peer_mesh.h"
#include <sys/resource.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>

using namespace arbutus;
using namespace arbutus::net;

namespace {

constexpr int WarmUpFrames = 200;
/// Payload of a slot request with a prompt of three parts, in bytes.
constexpr std::size_t PayloadBytes = 160;

/// Processor time of this process so far, in microseconds.
double processorMicros() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  const auto Micros = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) * 1e6 +
           static_cast<double>(Time.tv_usec);
  };
  return Micros(Usage.ru_utime) + Micros(Usage.ru_stime);
}

std::unique_ptr<peer_mesh> startMesh(std::uint32_t Id, mesh_receiver Receiver) {
  mesh_options Options;
  Options.Self = node_id{Id};
  Options.Incarnation = incarnation{1};
  Options.Listen = "127.0.0.1:0";
  Options.FleetKey = "0123456789abcdef";
  auto Started = peer_mesh::start(Options, std::move(Receiver));
  if (Started.has_error()) {
    std::fprintf(stderr, "mesh: %s\n", Started.error().Reason.c_str());
    std::exit(1);
  }
  return std::move(Started.value());
}

} // namespace

/// Usage: bench_mesh [FRAMES [PAUSE_MICROSECONDS]]
int main(int ArgumentCount, char **Arguments) {
  const int Frames = ArgumentCount > 1 ? std::atoi(Arguments[1]) : 5000;
  const int Pause = ArgumentCount > 2 ? std::atoi(Arguments[2]) : 500;
  std::atomic<int> Answered = 0;
  peer_mesh *Echo = nullptr;
  auto Router = startMesh(1, [&](auto, auto, auto, auto) { ++Answered; });
  auto Owner = startMesh(
      2, [&](node_id From, auto, message_kind Kind, const auto &Payload) {
        (void)Echo->send(From, Kind, Payload);
      });
  Echo = Owner.get();
  Router->setPeers({{node_id{2}, Owner->address()}});
  Owner->setPeers({{node_id{1}, Router->address()}});
  const std::string Payload(PayloadBytes, 'x');
  double Start = 0;
  for (int I = 0; I < WarmUpFrames + Frames; ++I) {
    if (I == WarmUpFrames) {
      Answered = 0;
      Start = processorMicros();
    }
    (void)Router->send(node_id{2}, message_kind::SlotRequest, Payload);
    std::this_thread::sleep_for(std::chrono::microseconds(Pause));
  }
  const double Used = processorMicros() - Start;
  std::printf("{\"round_trips\": %d, \"micros_each\": %.1f}\n", Answered.load(),
              Used / Frames);
  Router->stop();
  Owner->stop();
}
