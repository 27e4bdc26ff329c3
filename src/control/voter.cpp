#include "control/voter.h"

#include "base/codec.h"
#include "base/log.h"
#include "control/voter_log.h"
#include "control/voter_state.h"
#include "store/instance_diff.h"

#include <random>
#include <utility>

namespace arbutus::control {

namespace {

/// Longest wait of the voter thread for frames. Consensus needs a tick at least
/// every 50 ms.
constexpr auto TickInterval = std::chrono::milliseconds(20);
constexpr std::size_t MaxCommandsPerEntry = 1000;

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
  auto Message = decodeMessage<consensus::message>(Frame.Payload);
  if (Message.has_error() || Message.value().from() != Frame.From ||
      Message.value().to() != Settings.Node.Id) {
    logEvent(log_level::Warning, "raft_message_dropped",
             {{"peer", number(Frame.From)}});
    return;
  }
  step(consensus::peer_message{std::move(Message.value())}, Now);
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
