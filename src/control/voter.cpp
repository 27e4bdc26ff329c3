#include "control/voter.h"

#include "base/codec.h"
#include "base/log.h"
#include "consensus/consensus.h"
#include "control/domain_order_filter.h"
#include "control/leader_duties.h"
#include "control/resource_api.h"
#include "control/voter_limits.h"
#include "control/voter_log.h"
#include "control/voter_queue.h"
#include "storage/storage.h"
#include "store/instance_diff.h"
#include "store/state_machine.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <variant>

namespace arbutus::control {

namespace {

/// Longest wait of the voter thread for frames. Consensus needs a tick at least
/// every 50 ms.
constexpr auto TickInterval = std::chrono::milliseconds(20);
/// Applied entries after which a snapshot is saved. It bounds the entries that
/// a restart has to replay.
constexpr std::uint64_t EntriesPerSnapshot = 2000;
/// Time between two attempts to reopen the data directory after a failed write
/// or sync.
constexpr duration ReopenInterval = 500ms;
constexpr std::size_t MaxCommandsPerEntry = 1000;

} // namespace

struct voter::state {
  state(const settings::settings &Settings, const send_function &Send,
        const storage::file_operations &Files, storage::open_result Opened);

  void run();
  void handleFrame(const voter_frame &Frame, instant Now);
  void handleRaft(const voter_frame &Frame, instant Now);
  void handleHeartbeat(const voter_frame &Frame, instant Now);
  void handleClaimRequest(const voter_frame &Frame, instant Now);
  void handleAdminRequest(const voter_frame &Frame, instant Now);
  void proposeInstanceChanges(const instance_list &List, instant Now);
  void proposeMembershipChange(instant Now);
  void step(const consensus::input &Input, instant Now);
  void propose(instant Now);
  void processOutputs(instant Now);
  bool writeOutputs(const std::vector<consensus::output> &Batch,
                    std::uint64_t &Sequence);
  void applyEntry(const consensus::log_entry &Entry);
  [[nodiscard]] bool admitOrder(const store::set_domain_command &Order,
                                const api_request_message &Request,
                                command_requester &Requester, instant Now);
  void reply(const command_requester &Requester,
             const store::command_outcome &Outcome);
  void replyToOperator(const command_requester &Requester,
                       api_response Response);
  void saveSnapshot(instant Now);
  bool isLeading(instant Now) const;
  void publishStatus(instant Now);
  void handleStorageFailure(const storage::storage_error &Error, instant Now);
  void recoverStore();
  [[nodiscard]] consensus::raft_options raftOptions() const;
  [[nodiscard]] bool hasRoomFor(const voter_frame &Frame) const;
  void tryRecoverStorage(instant Now);
  [[nodiscard]] storage::storage_result<storage::open_result> reopenLog();

  settings::settings Settings;
  voter_limits Limits;
  storage::file_operations Files;
  consensus::data_directory_id DirectoryId;
  send_function Send;
  /// Empty while the data directory cannot be reopened.
  std::optional<storage::durable_log> Log;
  consensus::raft_node Raft;
  store::state_machine Store;
  leader_duties Duties;
  domain_order_filter Orders;
  std::uint64_t AppliedIndex = 0;
  std::uint64_t SnapshotIndex = 0;
  /// Payload bytes of the entries applied since the latest snapshot.
  std::uint64_t BytesSinceSnapshot = 0;
  bool StorageFailed = false;
  /// Time of the next attempt to reopen the data directory; empty if its
  /// content is corrupt, which another attempt cannot repair.
  std::optional<instant> ReopenAt;
  std::vector<consensus::output> Outputs;
  std::vector<queued_command> Queue;
  /// Bytes of the frames that the queued commands came in.
  std::uint64_t QueuedBytes = 0;
  std::map<std::uint64_t, proposed_entry> ProposedEntries;

  mutable std::mutex Mutex;
  std::condition_variable Wake;
  std::vector<voter_frame> Inbox;
  std::optional<instance_list> PendingInstances;
  bool DiscoveryFailed = false;
  bool Stopping = false;
  voter_status Status;
  std::thread Thread;
};

namespace {

std::optional<duration> maxInstanceAge(const settings::settings &Settings) {
  return Settings.Discovery.enabled()
             ? std::optional<duration>(Settings.Discovery.MaxAge)
             : std::nullopt;
}

} // namespace

voter::state::state(const settings::settings &Settings,
                    const send_function &Send,
                    const storage::file_operations &Files,
                    storage::open_result Opened)
    : Settings(Settings), Limits(voterLimits(Settings.Limits)), Files(Files),
      DirectoryId(Opened.DirectoryId), Send(Send), Log(std::move(Opened.Log)),
      Raft(raftOptions(), std::move(Opened.Recovered),
           std::mt19937_64(std::random_device{}()), monotonic_clock::now()),
      Duties(Settings.Node.Id, Send, maxInstanceAge(Settings)) {
  Status.DirectoryId = DirectoryId;
  recoverStore();
  logEvent(log_level::Info, "voter_started",
           {{"snapshot_index", SnapshotIndex},
            {"last_index", Raft.status().LastIndex},
            {"log_bytes", Log->logBytes()},
            {"fresh_disk", Opened.DirectoryInitialized},
            {"torn_bytes", Opened.TornBytes}});
}

consensus::raft_options voter::state::raftOptions() const {
  consensus::raft_options Options;
  Options.NodeId = Settings.Node.Id;
  Options.DirectoryId = DirectoryId;
  Options.TrailingBytes = Limits.TrailingBytes;
  return Options;
}

/// Restores the store from the snapshot that `Raft` was recovered with.
void voter::state::recoverStore() {
  Store = store::state_machine();
  AppliedIndex = 0;
  SnapshotIndex = 0;
  BytesSinceSnapshot = 0;
  const auto &Snapshot = Raft.latestSnapshot();
  if (!Snapshot) {
    return;
  }
  if (Store.restore(*Snapshot->Data).has_error()) {
    logEvent(log_level::Error, "snapshot_unreadable",
             {{"index", Snapshot->Meta.Index}});
    StorageFailed = true;
  }
  AppliedIndex = Snapshot->Meta.Index;
  SnapshotIndex = AppliedIndex;
}

storage::storage_result<storage::open_result> voter::state::reopenLog() {
  if (Log) {
    BOOST_OUTCOME_TRY(Log->discardUnsynced());
    Log.reset(); // Releases the lock on the directory.
  }
  return openVoterLog(Settings, Files);
}

void voter::state::tryRecoverStorage(instant Now) {
  if (!ReopenAt || Now < *ReopenAt) {
    return;
  }
  auto Opened = reopenLog();
  if (Opened.has_error()) {
    logEvent(log_level::Debug, "storage_still_failing",
             {{"code", nameOf(Opened.error().Code)},
              {"file", Opened.error().File},
              {"detail", Opened.error().Detail}});
    ReopenAt = Now + ReopenInterval;
    return;
  }
  ReopenAt.reset();
  StorageFailed = false;
  DirectoryId = Opened.value().DirectoryId;
  Log = std::move(Opened.value().Log);
  // Commands that were not committed get no reply; their senders resend them.
  Outputs.clear();
  Queue.clear();
  QueuedBytes = 0;
  ProposedEntries.clear();
  Duties.endTerm();
  Orders.reset();
  Raft =
      consensus::raft_node(raftOptions(), std::move(Opened.value().Recovered),
                           std::mt19937_64(std::random_device{}()), Now);
  recoverStore();
  logEvent(log_level::Info, "storage_recovered",
           {{"snapshot_index", SnapshotIndex},
            {"last_index", Raft.status().LastIndex},
            {"torn_bytes", Opened.value().TornBytes}});
}

void voter::state::run() {
  while (true) {
    std::vector<voter_frame> Frames;
    std::optional<instance_list> Instances;
    bool InstancesUnavailable = false;
    {
      std::unique_lock Lock(Mutex);
      Wake.wait_for(Lock, TickInterval,
                    [this] { return Stopping || !Inbox.empty(); });
      if (Stopping) {
        return;
      }
      Frames.swap(Inbox);
      Instances = std::exchange(PendingInstances, std::nullopt);
      InstancesUnavailable = std::exchange(DiscoveryFailed, false);
    }
    instant Now = monotonic_clock::now();
    if (StorageFailed) {
      tryRecoverStorage(Now);
      publishStatus(Now);
      continue;
    }
    step(consensus::tick{}, Now);
    for (const auto &Frame : Frames) {
      if (Frame.Kind == net::message_kind::Raft) {
        handleFrame(Frame, Now);
      }
    }
    // Applies the entries that these messages committed before `isLeading` is
    // called: it is false while the store is behind the commit index, and a
    // leader would then drop requests and reset its duties, with the
    // configuration positions of all nodes.
    processOutputs(Now);
    // The leader lease may have expired during a sync.
    Now = monotonic_clock::now();
    if (isLeading(Now)) {
      Orders.lead(Raft.status().Term, Now);
    } else {
      Orders.reset();
    }
    for (const auto &Frame : Frames) {
      if (Frame.Kind != net::message_kind::Raft) {
        handleFrame(Frame, Now);
      }
    }
    if (isLeading(Now)) {
      const std::uint64_t Term = Raft.status().Term;
      for (auto &Command : Duties.tick(Term, Store, Now)) {
        Queue.push_back({std::move(Command), {}});
      }
      if (Instances) {
        proposeInstanceChanges(*Instances, Now);
      }
      if (InstancesUnavailable) {
        Duties.onInstancesUnavailable();
      }
      proposeMembershipChange(Now);
    } else {
      Duties.endTerm();
    }
    propose(Now);
    processOutputs(Now);
    saveSnapshot(Now);
    publishStatus(Now);
  }
}

void voter::state::handleFrame(const voter_frame &Frame, instant Now) {
  switch (Frame.Kind) {
  case net::message_kind::Raft:
    handleRaft(Frame, Now);
    return;
  case net::message_kind::Heartbeat:
    handleHeartbeat(Frame, Now);
    return;
  case net::message_kind::ClaimRequest:
    handleClaimRequest(Frame, Now);
    return;
  case net::message_kind::ApiRequest:
    handleAdminRequest(Frame, Now);
    return;
  default:
    return;
  }
}

void voter::state::handleRaft(const voter_frame &Frame, instant Now) {
  auto Message = decode<consensus::message>(Frame.Payload);
  if (Message.has_error() || Message.value().from() != Frame.From ||
      Message.value().to() != Settings.Node.Id) {
    logEvent(log_level::Warning, "raft_message_dropped",
             {{"peer", number(Frame.From)}});
    return;
  }
  step(consensus::peer_message{std::move(Message.value())}, Now);
}

void voter::state::handleHeartbeat(const voter_frame &Frame, instant Now) {
  const auto Heartbeat = decode<heartbeat_message>(Frame.Payload);
  if (Heartbeat.has_value()) {
    Duties.onHeartbeat(Frame.From, Frame.Incarnation, Heartbeat.value(),
                       Raft.status().Leader, isLeading(Now),
                       Raft.status().Membership, Store, Now);
  }
}

void voter::state::handleClaimRequest(const voter_frame &Frame, instant Now) {
  const auto Message = decode<claim_request_message>(Frame.Payload);
  if (Message.has_error() || !isLeading(Now) || !hasRoomFor(Frame)) {
    return; // The sender resends it to the leader.
  }
  auto Command = decode<store::command>(Message.value().Command);
  if (Command.has_value()) {
    QueuedBytes += Frame.Payload.size();
    Queue.push_back({std::move(Command.value()),
                     {command_requester::kind::Router,
                      Frame.From,
                      Message.value().Number,
                      instant{},
                      {},
                      0}});
  }
}

void voter::state::handleAdminRequest(const voter_frame &Frame, instant Now) {
  const auto Request = decode<api_request_message>(Frame.Payload);
  if (Request.has_error() || !isLeading(Now) || !hasRoomFor(Frame)) {
    return; // The sender resends it to the leader.
  }
  auto Plan = planAdminRequest(Request.value(), Store, Duties.liveNodes());
  command_requester Requester{command_requester::kind::Operator,
                              Frame.From,
                              Request.value().Number,
                              instant{},
                              {},
                              0};
  if (Plan.Command) {
    const auto *Order =
        std::get_if<store::set_domain_command>(&Plan.Command->Value);
    if (Order != nullptr &&
        !admitOrder(*Order, Request.value(), Requester, Now)) {
      return;
    }
    QueuedBytes += Frame.Payload.size();
    Queue.push_back({std::move(*Plan.Command), Requester});
    return;
  }
  replyToOperator(Requester, std::move(Plan.Response));
}

/// Decides whether an order on a failure domain is proposed. Otherwise it is
/// answered here, or left to be sent again.
bool voter::state::admitOrder(const store::set_domain_command &Order,
                              const api_request_message &Request,
                              command_requester &Requester, instant Now) {
  const auto Current =
      Store.find(store::resource_kind::FailureDomain, Order.Name);
  const bool InForce =
      Current && Current->as<store::failure_domain>()->State == Order.State;
  if (InForce && !Orders.inProgress(Order.Name)) {
    // A repeat of the order in force is acknowledged again, however old it is.
    store::command_outcome Outcome;
    Outcome.Code = store::outcome_code::Ok;
    Outcome.Object = Current;
    replyToOperator(Requester, toApiResponse(Outcome));
    return false;
  }
  const order_stamp Stamp{Request.Term, instantFromMicros(Request.ReceivedAtUs),
                          instantFromMicros(Request.DeadlineUs)};
  const auto Verdict = Orders.judge(Order.Name, Stamp, Now);
  if (Verdict == order_verdict::Execute) {
    Requester.Domain = Order.Name;
    Requester.OrderNumber = Orders.onProposed(Order.Name);
    return true;
  }
  if (Verdict != order_verdict::Wait) {
    logEvent(log_level::Info, "order_refused",
             {{"failure_domain", Order.Name},
              {"state", nameOf(Order.State)},
              {"reason", nameOf(Verdict)},
              {"peer", number(Requester.Node)},
              {"age_us", toMicros(Now - Stamp.ReceivedAt)}});
    replyToOperator(Requester, apiError(503, nameOf(Verdict),
                                        "the order is too old or a newer one "
                                        "was carried out; send it again"));
  }
  return false;
}

/// False while the requests that are queued or not committed yet fill their
/// share of the log. A leader whose peers are frozen would otherwise add every
/// resend of a request to its log.
bool voter::state::hasRoomFor(const voter_frame &Frame) const {
  const auto Open = QueuedBytes + Raft.uncommittedBytes();
  return Open == 0 || Open + Frame.Payload.size() <= Limits.UncommittedBytes;
}

void voter::state::proposeInstanceChanges(const instance_list &List,
                                          instant Now) {
  auto Diff = store::diffInstances(Store.list(store::resource_kind::Instance),
                                   List.Instances);
  if (!Diff) {
    Duties.onInstancesStored(List.ReadAt, Store.currentRevision());
    return;
  }
  logEvent(log_level::Info, "instances_changed",
           {{"changed", Diff->Changed.size()},
            {"gone", Diff->Gone.size()},
            {"age_us", toMicros(Now - List.ReadAt)}});
  command_requester Requester;
  Requester.Kind = command_requester::kind::Discovery;
  Requester.ReadAt = List.ReadAt;
  Queue.push_back({store::makeCommand(std::move(*Diff)), Requester});
}

void voter::state::proposeMembershipChange(instant Now) {
  const auto Change = Duties.dueMembershipChange(Raft.status().Membership, Now);
  if (!Change) {
    return;
  }
  step(*Change, Now);
  const auto &Rejection = Outputs.back().Rejection;
  logEvent(log_level::Info, "voter_change",
           {{"change", nameOf(Change->Kind)},
            {"peer", number(Change->Node)},
            {"disk", number(Change->DirectoryId)},
            {"refused", Rejection ? nameOf(Rejection->Reason) : "no"}});
}

void voter::state::step(const consensus::input &Input, instant Now) {
  auto Output = Raft.step(Input, Now);
  for (const auto &Message : Output.MessagesBeforeSync) {
    Send(Message.to(), net::message_kind::Raft, encode(Message));
  }
  Output.MessagesBeforeSync.clear();
  Outputs.push_back(std::move(Output));
}

void voter::state::propose(instant Now) {
  std::size_t Start = 0;
  while (Start < Queue.size()) {
    const std::size_t End = std::min(Queue.size(), Start + MaxCommandsPerEntry);
    store::batch Batch;
    Batch.LeaderTimeMs = Duties.logTimeMs(Now);
    proposed_entry Entry;
    for (; Start < End; ++Start) {
      Batch.Commands.push_back(std::move(Queue[Start].Command));
      Entry.Requesters.push_back(Queue[Start].Requester);
    }
    step(consensus::proposal_batch{{store::encodeBatch(Batch)}}, Now);
    if (const auto &Accepted = Outputs.back().AcceptedRange) {
      Entry.Term = Accepted->Term;
      ProposedEntries[Accepted->FirstIndex] = std::move(Entry);
    }
  }
  Queue.clear();
  QueuedBytes = 0;
}

void voter::state::processOutputs(instant Now) {
  while (!Outputs.empty() && !StorageFailed) {
    const auto Batch = std::exchange(Outputs, {});
    std::uint64_t Sequence = 0;
    if (!writeOutputs(Batch, Sequence)) {
      return;
    }
    for (const auto &Output : Batch) {
      for (const auto &Message : Output.MessagesAfterSync) {
        Send(Message.to(), net::message_kind::Raft, encode(Message));
      }
      if (Output.SnapshotToRestore) {
        if (Store.restore(*Output.SnapshotToRestore->Data).has_error()) {
          handleStorageFailure({storage::storage_errc::Corrupt, "snapshot",
                                "the received snapshot cannot be read", 0},
                               Now);
          return;
        }
        AppliedIndex = Output.SnapshotToRestore->Meta.Index;
        SnapshotIndex = AppliedIndex;
        BytesSinceSnapshot = 0;
        ProposedEntries.clear();
      }
      for (const auto &Entry : Output.CommittedEntries) {
        applyEntry(Entry);
        if (StorageFailed) {
          return;
        }
      }
    }
    if (Sequence != 0) {
      step(consensus::writes_synced{Sequence}, Now);
    }
  }
}

bool voter::state::writeOutputs(const std::vector<consensus::output> &Batch,
                                std::uint64_t &Sequence) {
  for (const auto &Output : Batch) {
    if (Output.Writes.empty()) {
      continue;
    }
    if (const auto Written = Log->write(Output.Writes); Written.has_error()) {
      handleStorageFailure(Written.error(), monotonic_clock::now());
      return false;
    }
    Sequence = Output.Writes.Sequence;
  }
  if (Sequence != 0) {
    if (const auto Synced = Log->sync(); Synced.has_error()) {
      handleStorageFailure(Synced.error(), monotonic_clock::now());
      return false;
    }
  }
  return true;
}

void voter::state::applyEntry(const consensus::log_entry &Entry) {
  AppliedIndex = Entry.Index;
  BytesSinceSnapshot += Entry.Payload.size();
  const auto It = ProposedEntries.find(Entry.Index);
  if (Entry.Kind == consensus::entry_kind::Proposal) {
    const auto Result = Store.apply(Entry.Index, Entry.Payload);
    if (Result.Status == store::apply_status::UnsupportedVersion) {
      // Skipping the entry would make this state differ from that of the other
      // voters.
      handleStorageFailure({storage::storage_errc::Corrupt, "log",
                            "an entry has a newer format than this program", 0},
                           monotonic_clock::now());
      return;
    }
    if (It != ProposedEntries.end() && It->second.Term == Entry.Term) {
      const auto &Requesters = It->second.Requesters;
      for (std::size_t I = 0;
           I < std::min(Requesters.size(), Result.Outcomes.size()); ++I) {
        reply(Requesters[I], Result.Outcomes[I]);
      }
    }
  }
  if (It != ProposedEntries.end()) {
    ProposedEntries.erase(It);
  }
}

void voter::state::reply(const command_requester &Requester,
                         const store::command_outcome &Outcome) {
  switch (Requester.Kind) {
  case command_requester::kind::None:
    return;
  case command_requester::kind::Router: {
    const claim_reply_message Reply{Requester.Number, encode(Outcome)};
    Send(Requester.Node, net::message_kind::ClaimReply, encode(Reply));
    return;
  }
  case command_requester::kind::Discovery:
    Duties.onInstancesStored(Requester.ReadAt, Store.currentRevision());
    return;
  case command_requester::kind::Operator:
    if (!Requester.Domain.empty()) {
      Orders.onApplied(Requester.Domain, Requester.OrderNumber,
                       monotonic_clock::now());
    }
    replyToOperator(Requester, toApiResponse(Outcome));
    return;
  }
}

void voter::state::replyToOperator(const command_requester &Requester,
                                   api_response Response) {
  const api_reply_message Reply{Requester.Number,
                                static_cast<std::uint32_t>(Response.Status),
                                std::move(Response.Body)};
  Send(Requester.Node, net::message_kind::ApiReply, encode(Reply));
}

void voter::state::saveSnapshot(instant Now) {
  const bool Due = AppliedIndex >= SnapshotIndex + EntriesPerSnapshot ||
                   BytesSinceSnapshot >= Limits.SnapshotBytes;
  if (StorageFailed || !Due) {
    return;
  }
  const auto Meta = Raft.snapshotMeta(AppliedIndex);
  if (!Meta) {
    return;
  }
  const auto Data = std::make_shared<const std::string>(Store.snapshot());
  if (const auto Saved = Log->saveSnapshot({*Meta, Data}); Saved.has_error()) {
    handleStorageFailure(Saved.error(), Now);
    return;
  }
  SnapshotIndex = AppliedIndex;
  BytesSinceSnapshot = 0;
  step(consensus::snapshot_saved{AppliedIndex, Data}, Now);
  processOutputs(Now);
  logEvent(log_level::Info, "snapshot_saved",
           {{"index", SnapshotIndex},
            {"bytes", Data->size()},
            {"log_bytes", Log->logBytes()}});
}

bool voter::state::isLeading(instant Now) const {
  const auto Read = Raft.readIndex(Now);
  return Read.has_value() && AppliedIndex >= Read.value();
}

void voter::state::publishStatus(instant Now) {
  const auto RaftStatus = Raft.status();
  const std::lock_guard Lock(Mutex);
  Status.IsLeader = !StorageFailed && isLeading(Now);
  Status.Term = RaftStatus.Term;
  Status.CommitIndex = RaftStatus.CommitIndex;
  Status.AppliedIndex = AppliedIndex;
  Status.LogBytes = Log ? Log->logBytes() : 0;
  Status.StorageFailed = StorageFailed;
  Status.DirectoryId = DirectoryId;
}

void voter::state::handleStorageFailure(const storage::storage_error &Error,
                                        instant Now) {
  logEvent(log_level::Error, "storage_failed",
           {{"code", nameOf(Error.Code)},
            {"file", Error.File},
            {"detail", Error.Detail},
            {"errno", Error.Errno}});
  StorageFailed = true;
  // A full disk or a failed write may recover; corrupt content does not.
  if (Error.Code != storage::storage_errc::Corrupt) {
    ReopenAt = Now + ReopenInterval;
  }
  step(consensus::storage_failed{}, Now);
  Outputs.clear();
}

storage::storage_result<std::unique_ptr<voter>>
voter::start(const settings::settings &Settings, const send_function &Send,
             const storage::file_operations &Files) {
  auto Opened = openVoterLog(Settings, Files);
  if (Opened.has_error()) {
    return Opened.error();
  }
  auto State =
      std::make_unique<state>(Settings, Send, Files, std::move(Opened.value()));
  return std::unique_ptr<voter>(new voter(std::move(State)));
}

voter::voter(std::unique_ptr<state> Given) : State(std::move(Given)) {
  State->Thread = std::thread([this] { State->run(); });
}

voter::~voter() {
  {
    const std::lock_guard Lock(State->Mutex);
    State->Stopping = true;
  }
  State->Wake.notify_one();
  State->Thread.join();
}

void voter::post(voter_frame Frame) {
  {
    const std::lock_guard Lock(State->Mutex);
    State->Inbox.push_back(std::move(Frame));
  }
  State->Wake.notify_one();
}

void voter::postInstances(instance_list List) {
  {
    const std::lock_guard Lock(State->Mutex);
    State->PendingInstances = std::move(List);
    State->DiscoveryFailed = false;
  }
  State->Wake.notify_one();
}

void voter::postDiscoveryFailure() {
  {
    const std::lock_guard Lock(State->Mutex);
    State->DiscoveryFailed = true;
  }
  State->Wake.notify_one();
}

voter_status voter::status() const {
  const std::lock_guard Lock(State->Mutex);
  return State->Status;
}

} // namespace arbutus::control
