#include "control/server.h"

#include "base/codec.h"
#include "base/json_reader.h"
#include "base/log.h"
#include "control/gateway.h"
#include "control/instance_poller.h"
#include "control/memory_limits.h"
#include "control/mesh_peers.h"
#include "control/node_agent.h"
#include "control/process_gauges.h"
#include "control/voter.h"
#include "net/http_server.h"
#include "net/peer_mesh.h"
#include "router/http_dispatch.h"
#include "router/request_flow.h"
#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

namespace arbutus::control {

namespace {

using work_guard = asio::executor_work_guard<asio::io_context::executor_type>;

constexpr auto DrainCheckInterval = std::chrono::milliseconds(50);
/// Time for the last responses to reach their callers before the process exits.
constexpr auto FinalResponseDelay = std::chrono::milliseconds(200);

/// Some callers of the gateway cache an address response for this many times
/// its TTL.
constexpr int AddressCacheTtls = 3;
/// A request needs one descriptor for its caller and one for its upstream; two
/// more are reserved for idle connections, peers and files.
constexpr std::int64_t DescriptorsPerRequest = 4;

/// The process exits this long before the termination grace period ends.
constexpr duration TerminationMargin = 600ms;

/// An I/O thread with its listeners.
struct io_thread {
  io_thread(int Index, std::size_t AnswerMemoryBytes,
            std::size_t BodyMemoryBytes)
      : Shard(Index, AnswerMemoryBytes, BodyMemoryBytes),
        Work(Shard.Io.get_executor()) {}

  router::shard Shard;
  work_guard Work;
  std::unique_ptr<net::http_server> Server;
  std::unique_ptr<gateway> Gateway;
  std::thread Thread;
};

class server {
public:
  server(const settings::settings &Settings,
         const traffic::platform_adapter *Adapter);
  ~server();
  server(const server &) = delete;
  server &operator=(const server &) = delete;

  [[nodiscard]] bool start();
  void run() { Io.run(); }

private:
  [[nodiscard]] bool startMesh();
  [[nodiscard]] bool startVoter();
  void startDiscovery();
  [[nodiscard]] bool startShards();
  void send(node_id To, net::message_kind Kind, const std::string &Payload);
  void receive(node_id From, incarnation Incarnation, net::message_kind Kind,
               std::string Payload);
  /// Adds the sender of a heartbeat to the mesh peers, so that it gets a reply
  /// even if it is not a live node. Only this reply tells a node that its
  /// session has ended.
  void addHeartbeatSender(node_id From, const std::string &Payload);
  void onNodes(const std::vector<membership::live_node> &Nodes);
  void callLeader(router::admin_request Request, router::shard &Shard,
                  std::function<void(router::admin_response)> Callback);
  void waitForSignal();
  void beginDrain();
  /// How long callers may cache an address response that names this node.
  [[nodiscard]] std::chrono::milliseconds addressCacheTime();
  /// Time by which the process must have exited before it is killed.
  [[nodiscard]] instant shutdownDeadline() const;
  void finishDrain();
  void checkDrained(instant Deadline);
  void abortAndStop();

  const settings::settings &Settings;
  /// With null the gateway and discovery are off.
  const traffic::platform_adapter *Adapter;
  asio::io_context Io;
  work_guard Work;
  asio::signal_set Signals;
  asio::steady_timer DrainTimer;
  std::unique_ptr<net::peer_mesh> Mesh;
  std::unique_ptr<voter> Voter;
  std::unique_ptr<instance_poller> Poller;
  node_agent Agent;
  router::router_context Context;
  router::http_dispatch_hooks Hooks;
  std::vector<std::unique_ptr<io_thread>> Threads;
  std::atomic<gateway *> SlotReceiver = nullptr;
  instant ShutdownDeadline = instant::max();
  bool Draining = false;
  bool Stopping = false;
};

server::server(const settings::settings &Settings,
               const traffic::platform_adapter *Adapter)
    : Settings(Settings), Adapter(Adapter), Io(1), Work(Io.get_executor()),
      Signals(Io, SIGTERM, SIGINT, SIGHUP), DrainTimer(Io),
      Agent(
          Io, Settings,
          [this](node_id To, net::message_kind Kind,
                 const std::string &Payload) { send(To, Kind, Payload); },
          [this](const std::vector<membership::live_node> &Nodes) {
            onNodes(Nodes);
          },
          [this](incarnation Next) { Mesh->setIncarnation(Next); }),
      Context(
          Settings.Node.Id, Settings.Node.Name,
          incarnation{static_cast<std::uint64_t>(wallClockMillis())}, Io,
          [this] { asio::post(Io, [this] { Agent.flushReports(); }); },
          [this](std::uint64_t Number, const std::string &Command) {
            Agent.sendCommand(Number, Command);
          }) {
  Context.MaxHeaderBytes = Settings.Limits.HeaderBytes;
  Context.MaxBodyBytes = Settings.Limits.BodyBytes;
  if (Settings.Limits.MaxOpenFiles != 0) {
    Context.MaxActiveRequests =
        static_cast<std::int64_t>(Settings.Limits.MaxOpenFiles) /
        DescriptorsPerRequest;
  }
  Hooks.OperatorKeyHashes = Settings.Fleet.OperatorKeyHashes;
  Hooks.ForwardToLeader = [this](auto Request, auto &Shard, auto Callback) {
    callLeader(std::move(Request), Shard, std::move(Callback));
  };
  Hooks.UpdateGauges = [this](auto &Metrics) {
    updateGauges(Metrics, Context, *Mesh, Voter.get());
    std::vector<const net::body_memory *> Bodies;
    for (const auto &Thread : Threads) {
      Bodies.push_back(&Thread->Shard.Bodies);
    }
    updateBodyGauges(Metrics, Bodies);
  };
  if (Settings.Testing.AllowFaultInjection) {
    Hooks.SetBlockedPeers = [this](const std::set<node_id> &Peers) {
      return Mesh->setBlockedPeers(Peers);
    };
  }
}

server::~server() {
  for (const auto &Thread : Threads) {
    Thread->Shard.Io.stop();
    if (Thread->Thread.joinable()) {
      Thread->Thread.join();
    }
  }
  // The receiver uses the voter and the voter's thread sends through the mesh,
  // so the mesh stops first and is destroyed last.
  if (Mesh) {
    Mesh->stop();
  }
  Voter.reset();
  Mesh.reset();
}

bool server::start() {
  setJsonMemory(jsonMemoryBytes(Settings.Limits, Settings.Listen.Threads));
  if (!startMesh() || !startVoter()) {
    return false;
  }
  Agent.start(Context);
  startDiscovery();
  if (!startShards()) {
    return false;
  }
  waitForSignal();
  if (Settings.Fleet.Key.empty()) {
    logEvent(log_level::Warning, "mesh_not_authenticated",
             {{"mesh", Settings.Listen.Mesh.toString()}});
  }
  logEvent(log_level::Info, "started",
           {{"http", Settings.Listen.Http.toString()},
            {"mesh", Settings.Listen.Mesh.toString()},
            {"router", Settings.Node.IsRouter},
            {"control", Settings.Node.IsControl},
            {"incarnation", number(Context.Incarnation.load())}});
  return true;
}

bool server::startMesh() {
  net::mesh_options Options;
  Options.Self = Settings.Node.Id;
  Options.Incarnation = Context.Incarnation.load();
  Options.Listen = Settings.Listen.Mesh.toString();
  Options.FleetKey = Settings.Fleet.Key;
  Options.AllowFaultInjection = Settings.Testing.AllowFaultInjection;
  Options.Peers = configuredPeers(Settings);
  auto Started = net::peer_mesh::start(
      std::move(Options), [this](node_id From, incarnation Incarnation,
                                 net::message_kind Kind, std::string Payload) {
        receive(From, Incarnation, Kind, std::move(Payload));
      });
  if (Started.has_error()) {
    logEvent(log_level::Error, "mesh_failed",
             {{"code", nameOf(Started.error().Code)},
              {"address", Started.error().Address},
              {"reason", Started.error().Reason}});
    return false;
  }
  Mesh = std::move(Started.value());
  return true;
}

bool server::startVoter() {
  if (!Settings.Node.IsControl) {
    return true;
  }
  auto Started =
      voter::start(Settings, [this](node_id To, net::message_kind Kind,
                                    const std::string &Payload) {
        send(To, Kind, Payload);
      });
  if (Started.has_error()) {
    logEvent(log_level::Error, "voter_failed",
             {{"code", nameOf(Started.error().Code)},
              {"file", Started.error().File},
              {"detail", Started.error().Detail}});
    return false;
  }
  Voter = std::move(Started.value());
  Agent.setDirectoryId(Voter->status().DirectoryId);
  return true;
}

void server::startDiscovery() {
  if (!Voter || Adapter == nullptr || !Settings.Discovery.enabled()) {
    return;
  }
  Poller = std::make_unique<instance_poller>(
      Io, Settings.Discovery, *Adapter,
      [this] { return Voter->status().IsLeader; },
      [this](instance_list List) { Voter->postInstances(std::move(List)); },
      [this] { Voter->postDiscoveryFailure(); });
  Poller->start();
}

bool server::startShards() {
  limitHeapRetention();
  // A body above the configured limit is still read, because operators send
  // larger ones than callers; above this multiple it is refused unread.
  static constexpr std::size_t HardLimitFactor = 8;
  net::http_server_options Options;
  Options.Address = Settings.Listen.Http.Ip;
  Options.Port = Settings.Listen.Http.Port;
  Options.MaxBodyBytes = [Limit = HardLimitFactor * Settings.Limits.BodyBytes] {
    return Limit;
  };
  Options.HardHeaderFieldLimit = HardLimitFactor * Settings.Limits.HeaderBytes;
  for (int I = 0; I < Settings.Listen.Threads; ++I) {
    auto Thread = std::make_unique<io_thread>(
        I, answerMemoryBytes(Settings.Limits, Settings.Listen.Threads),
        bodyMemoryBytes(Settings.Limits, Settings.Listen.Threads));
    auto &Shard = Thread->Shard;
    try {
      Thread->Server = std::make_unique<net::http_server>(
          Shard.Io, Options, Shard.Bodies,
          [this, &Shard](const std::shared_ptr<net::http_exchange> &Exchange) {
            router::dispatchHttpRequest(Context, Hooks, Shard, Exchange);
          });
      // Only the first shard serves the gateway, so that all slots of a router
      // are kept in one place.
      if (I == 0 && Adapter != nullptr && Settings.Gateway.enabled()) {
        Thread->Gateway = std::make_unique<gateway>(
            Settings, *Adapter, Context, Hooks, Shard,
            [this](node_id To, net::message_kind Kind,
                   const std::string &Payload) { send(To, Kind, Payload); });
        SlotReceiver = Thread->Gateway.get();
      }
    } catch (const std::exception &Error) {
      logEvent(log_level::Error, "listen_failed",
               {{"address", Settings.Listen.Http.toString()},
                {"reason", Error.what()}});
      return false;
    }
    Threads.push_back(std::move(Thread));
  }
  for (const auto &Thread : Threads) {
    Thread->Shard.Stalls.start();
    Thread->Thread = std::thread([&Io = Thread->Shard.Io] { Io.run(); });
  }
  return true;
}

void server::send(node_id To, net::message_kind Kind,
                  const std::string &Payload) {
  if (To == Settings.Node.Id) {
    receive(To, Context.Incarnation.load(), Kind, Payload);
    return;
  }
  if (!Mesh->hasPeer(To)) {
    const auto Address = settings::deriveMeshEndpoint(Settings.Fleet, To);
    if (!Address.empty()) {
      Mesh->addPeer({To, Address.toString()});
    }
  }
  Mesh->send(To, Kind, Payload);
}

void server::receive(node_id From, incarnation Incarnation,
                     net::message_kind Kind, std::string Payload) {
  switch (Kind) {
  case net::message_kind::SlotRequest:
  case net::message_kind::SlotReply:
  case net::message_kind::SlotEvents:
    if (auto *Receiver = SlotReceiver.load()) {
      Receiver->postMessage(From, Kind, std::move(Payload));
    }
    return;
  case net::message_kind::Raft:
  case net::message_kind::Heartbeat:
  case net::message_kind::ClaimRequest:
  case net::message_kind::ApiRequest:
    if (Voter) {
      if (Kind == net::message_kind::Heartbeat) {
        addHeartbeatSender(From, Payload);
      }
      Voter->post({From, Incarnation, Kind, std::move(Payload)});
      return;
    }
    if (Kind != net::message_kind::Heartbeat) {
      return;
    }
    [[fallthrough]];
  default:
    asio::post(Io,
               [this, From, Incarnation, Kind, Payload = std::move(Payload)] {
                 Agent.onFrame(From, Incarnation, Kind, Payload);
               });
  }
}

void server::addHeartbeatSender(node_id From, const std::string &Payload) {
  if (From == Settings.Node.Id || Mesh->hasPeer(From)) {
    return;
  }
  if (const auto Heartbeat = decodeMessage<heartbeat_message>(Payload)) {
    asio::post(Io,
               [this, From, Address = Heartbeat.value().Sender.MeshAddress] {
                 Mesh->addPeer({From, Address});
               });
  }
}

void server::onNodes(const std::vector<membership::live_node> &Nodes) {
  auto Peers = configuredPeers(Settings);
  for (const node_id Node : Agent.controlNodes()) {
    const auto Address = settings::deriveMeshEndpoint(Settings.Fleet, Node);
    if (Node != Settings.Node.Id && !containsPeer(Peers, Node) &&
        !Address.empty()) {
      Peers.push_back({Node, Address.toString()});
    }
  }
  for (const auto &Node : Nodes) {
    if (Node.Info.Node != Settings.Node.Id &&
        !containsPeer(Peers, Node.Info.Node)) {
      Peers.push_back({Node.Info.Node, Node.Info.MeshAddress});
    }
  }
  Mesh->setPeers(Peers);
}

void server::callLeader(router::admin_request Request, router::shard &Shard,
                        std::function<void(router::admin_response)> Callback) {
  asio::post(Io, [this, Request = std::move(Request), &Shard,
                  Callback = std::move(Callback)]() mutable {
    api_request_message Message;
    Message.Method = std::move(Request.Method);
    Message.Target = std::move(Request.Target);
    Message.Body = std::move(Request.Body);
    Message.RequestId = std::move(Request.RequestId);
    const request_times Times{Request.ReceivedAt,
                              Request.ReceivedAt + Request.Timeout};
    Agent.leader().call(
        std::move(Message), Times,
        [&Shard, Callback = std::move(Callback)](
            const std::optional<api_reply_message> &Reply) {
          router::admin_response Response;
          if (Reply) {
            Response.Status = static_cast<int>(Reply->Status);
            Response.Body = Reply->Body;
          }
          asio::post(Shard.Io, [Callback, Response] { Callback(Response); });
        });
  });
}

void server::waitForSignal() {
  Signals.async_wait([this](const asio::error_code &Error, int Signal) {
    if (Error) {
      return;
    }
    if (Signal == SIGHUP) {
      logEvent(log_level::Info, "reload_requested",
               {{"file", Settings.File.string()}});
      waitForSignal();
      return;
    }
    if (Draining) {
      abortAndStop();
      return;
    }
    beginDrain();
    waitForSignal();
  });
}

void server::beginDrain() {
  Draining = true;
  Context.Drain = router::drain_phase::Announced;
  Agent.announceDraining();
  ShutdownDeadline = shutdownDeadline();
  const std::chrono::milliseconds Ttl = addressCacheTime();
  logEvent(log_level::Info, "drain_started", {{"address_ttl_ms", Ttl.count()}});
  // Callers that cache the address of this node still send requests to it.
  DrainTimer.expires_after(Ttl);
  DrainTimer.async_wait([this](const asio::error_code &Error) {
    if (!Error) {
      finishDrain();
    }
  });
}

std::chrono::milliseconds server::addressCacheTime() {
  if (Settings.Gateway.enabled()) {
    return AddressCacheTtls * Settings.Gateway.AddressTtl;
  }
  return std::chrono::milliseconds(Context.Routing.read([](const auto &State) {
    return State.View->policyValues().AddressTtlMs;
  }));
}

instant server::shutdownDeadline() const {
  if (Settings.Limits.TerminationGracePeriod.count() == 0) {
    return instant::max();
  }
  return monotonic_clock::now() + Settings.Limits.TerminationGracePeriod -
         TerminationMargin;
}

void server::finishDrain() {
  Context.Drain = router::drain_phase::Draining;
  for (const auto &Thread : Threads) {
    if (Thread->Gateway) {
      asio::post(Thread->Shard.Io,
                 [&Gateway = *Thread->Gateway] { Gateway.stopAccepting(); });
    }
  }
  checkDrained(std::min(ShutdownDeadline,
                        monotonic_clock::now() + Settings.Limits.DrainTimeout));
}

void server::checkDrained(instant Deadline) {
  if (Context.ActiveRequests.load() == 0 ||
      monotonic_clock::now() >= Deadline) {
    abortAndStop();
    return;
  }
  DrainTimer.expires_after(DrainCheckInterval);
  DrainTimer.async_wait([this, Deadline](const asio::error_code &Error) {
    if (!Error) {
      checkDrained(Deadline);
    }
  });
}

void server::abortAndStop() {
  if (Stopping) {
    return;
  }
  Stopping = true;
  Context.Drain = router::drain_phase::Draining;
  logEvent(log_level::Info, "ending",
           {{"active_requests", Context.ActiveRequests.load()}});
  for (const auto &Thread : Threads) {
    asio::post(Thread->Shard.Io, [&Thread = *Thread] {
      router::abortRequests(Thread.Shard);
      if (Thread.Gateway) {
        Thread.Gateway->abortAll();
      }
    });
  }
  DrainTimer.expires_after(FinalResponseDelay);
  DrainTimer.async_wait([this](const asio::error_code &) { Io.stop(); });
}

} // namespace

int runServer(const settings::settings &Settings,
              const traffic::platform_adapter *Adapter) {
  // Writes to a closed socket or pipe, or beyond the file size limit, then
  // return an error instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  openLog(Settings.Log.Path.string(), Settings.Log.Level, Settings.Node.Name);
  server Server(Settings, Adapter);
  if (!Server.start()) {
    flushLog();
    return 1;
  }
  Server.run();
  logEvent(log_level::Info, "stopped", {});
  flushLog();
  return 0;
}

} // namespace arbutus::control
