// Measures the CPU time of a round trip between two meshes, one frame and its
// reply. The default frame rate is about that of one busy router.
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
/// Payload size of a slot request whose prompt has three blocks.
constexpr std::size_t PayloadBytes = 160;

/// Returns the user and system CPU time of this process.
double cpuTimeUs() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  const auto ToUs = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) * 1e6 +
           static_cast<double>(Time.tv_usec);
  };
  return ToUs(Usage.ru_utime) + ToUs(Usage.ru_stime);
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
int main(int Argc, char **Argv) {
  const int Frames = Argc > 1 ? std::atoi(Argv[1]) : 5000;
  const int PauseUs = Argc > 2 ? std::atoi(Argv[2]) : 500;
  std::atomic<int> Replies = 0;
  peer_mesh *ReplyMesh = nullptr;
  auto Sender = startMesh(1, [&](auto, auto, auto, auto) { ++Replies; });
  auto Responder = startMesh(
      2, [&](node_id From, auto, message_kind Kind, const auto &Payload) {
        (void)ReplyMesh->send(From, Kind, Payload);
      });
  ReplyMesh = Responder.get();
  Sender->setPeers({{node_id{2}, Responder->address()}});
  Responder->setPeers({{node_id{1}, Sender->address()}});
  const std::string Payload(PayloadBytes, 'x');
  double StartUs = 0;
  for (int I = 0; I < WarmUpFrames + Frames; ++I) {
    if (I == WarmUpFrames) {
      Replies = 0;
      StartUs = cpuTimeUs();
    }
    (void)Sender->send(node_id{2}, message_kind::SlotRequest, Payload);
    std::this_thread::sleep_for(std::chrono::microseconds(PauseUs));
  }
  const double UsedUs = cpuTimeUs() - StartUs;
  std::printf("{\"round_trips\": %d, \"micros_each\": %.1f}\n", Replies.load(),
              UsedUs / Frames);
  Sender->stop();
  Responder->stop();
}
