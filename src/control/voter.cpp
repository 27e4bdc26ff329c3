#include "control/voter.h"

#include "base/codec.h"
#include "base/log.h"
#include "consensus/consensus.h"
#include "control/leader_duties.h"
#include "control/resource_api.h"
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

/// Longest sleep of the voter thread; consensus needs a tick within 50 ms.
constexpr auto TickInterval = std::chrono::milliseconds(20);
/// Applied entries after which a snapshot is saved. A restart replays at most
/// this many, however many changes there were before.
constexpr std::uint64_t EntriesPerSnapshot = 2000;
/// Size of the log after which a snapshot is saved earlier: entries that hold
/// whole configurations fill a small disk long before the count is reached.
constexpr std::uint64_t MostLogBytes = std::uint64_t{8} << 20U;
/// Time between two attempts to use a disk again that refused a write.
constexpr duration ReopenInterval = 500ms;
/// Commands that go into one log entry.
constexpr std::size_t MostCommandsPerEntry = 1000;

} // namespace

struct voter::state {
  state(const settings::settings &Settings, const send_function &Send,
        const storage::file_operations &Files, storage::open_result Opened);

  void run();
  void handle(const voter_frame &Frame, instant Now);
  void handleRaft(const voter_frame &Frame, instant Now);
  void handleHeartbeat(const voter_frame &Frame, instant Now);
  void handleCommand(const voter_frame &Frame, instant Now);
  void handleApi(const voter_frame &Frame, instant Now);
  void syncInstances(const std::vector<store::named_instance> &Found);
  void changeVoters(instant Now);
  void step(const consensus::input &Input, instant Now);
  void propose(instant Now);
  void carryOut(instant Now);
  bool writeOutputs(const std::vector<consensus::output> &Batch,
                    std::uint64_t &Sequence);
  void applyEntry(const consensus::log_entry &Entry);
  void reply(const command_source &Source,
             const store::command_outcome &Outcome);
  void saveSnapshot(instant Now);
  bool leading(instant Now) const;
  void publishStatus(instant Now);
  void storageFailed(const storage::storage_error &Error, instant Now);
  void recoverStore(const consensus::recovered_state &Recovered);
  void reopen(instant Now);
  [[nodiscard]] storage::storage_result<storage::open_result> openAgain();

  settings::settings Settings;
  storage::file_operations Files;
  consensus::data_directory_id Disk;
  send_function Send;
  /// Nothing while a disk that refused a write is not in use again.
  std::optional<storage::durable_log> Log;
  consensus::raft_node Raft;
  store::state_machine Store;
  leader_duties Duties;
  std::uint64_t Applied = 0;
  std::uint64_t SnapshotAt = 0;
  bool Failed = false;
  /// Next attempt to open the data directory again; nothing if that is of no
  /// use, because what the disk holds cannot be read.
  std::optional<instant> ReopenAt;
  std::vector<consensus::output> Outputs;
  std::vector<queued_command> Queue;
  std::map<std::uint64_t, proposed_entry> Proposed;

  mutable std::mutex Mutex;
  std::condition_variable Wake;
  std::vector<voter_frame> Inbox;
  std::optional<std::vector<store::named_instance>> FoundInstances;
  bool Stopping = false;
  voter_status Status;
  std::thread Thread;
};

namespace {

consensus::raft_options raftOptions(const settings::settings &Settings,
                                    consensus::data_directory_id Disk) {
  consensus::raft_options Options;
  Options.NodeId = Settings.Node.Id;
  Options.DirectoryId = Disk;
  return Options;
}

} // namespace

voter::state::state(const settings::settings &Settings,
                    const send_function &Send,
                    const storage::file_operations &Files,
                    storage::open_result Opened)
    : Settings(Settings), Files(Files), Disk(Opened.DirectoryId), Send(Send),
      Log(std::move(Opened.Log)),
      Raft(raftOptions(Settings, Opened.DirectoryId), Opened.Recovered,
           std::mt19937_64(std::random_device{}()), monotonic_clock::now()),
      Duties(Settings.Node.Id, Send) {
  Status.Disk = Disk;
  recoverStore(Opened.Recovered);
  logEvent(log_level::Info, "voter_started",
           {{"snapshot_index", SnapshotAt},
            {"entries", Opened.Recovered.Entries.size()},
            {"fresh_disk", Opened.DirectoryInitialized},
            {"torn_bytes", Opened.TornBytes}});
}

void voter::state::recoverStore(const consensus::recovered_state &Recovered) {
  Store = store::state_machine();
  Applied = 0;
  SnapshotAt = 0;
  if (!Recovered.Snapshot) {
    return;
  }
  const auto &Snapshot = *Recovered.Snapshot;
  if (Store.restore(*Snapshot.Data).has_error()) {
    logEvent(log_level::Error, "snapshot_unreadable",
             {{"index", Snapshot.Meta.Index}});
    Failed = true;
  }
  Applied = Snapshot.Meta.Index;
  SnapshotAt = Applied;
}

storage::storage_result<storage::open_result> voter::state::openAgain() {
  if (Log) {
    BOOST_OUTCOME_TRY(Log->discardUnsynced());
    Log.reset(); // its lock would keep the directory from being opened
  }
  return openVoterLog(Settings, Files);
}

void voter::state::reopen(instant Now) {
  if (!ReopenAt || Now < *ReopenAt) {
    return;
  }
  auto Opened = openAgain();
  if (Opened.has_error()) {
    logEvent(log_level::Debug, "storage_still_failing",
             {{"code", nameOf(Opened.error().Code)},
              {"file", Opened.error().File},
              {"detail", Opened.error().Detail}});
    ReopenAt = Now + ReopenInterval;
    return;
  }
  ReopenAt.reset();
  Failed = false;
  Disk = Opened.value().DirectoryId;
  Log = std::move(Opened.value().Log);
  // What was accepted and not committed gets no answer; its senders repeat it.
  Outputs.clear();
  Queue.clear();
  Proposed.clear();
  Duties.stop();
  Raft = consensus::raft_node(raftOptions(Settings, Disk),
                              Opened.value().Recovered,
                              std::mt19937_64(std::random_device{}()), Now);
  recoverStore(Opened.value().Recovered);
  logEvent(log_level::Info, "storage_recovered",
           {{"snapshot_index", SnapshotAt},
            {"entries", Opened.value().Recovered.Entries.size()},
            {"torn_bytes", Opened.value().TornBytes}});
}

void voter::state::run() {
  while (true) {
    std::vector<voter_frame> Frames;
    std::optional<std::vector<store::named_instance>> Found;
    {
      std::unique_lock Lock(Mutex);
      Wake.wait_for(Lock, TickInterval,
                    [this] { return Stopping || !Inbox.empty(); });
      if (Stopping) {
        return;
      }
      Frames.swap(Inbox);
      Found = std::exchange(FoundInstances, std::nullopt);
    }
    instant Now = monotonic_clock::now();
    if (Failed) {
      reopen(Now);
      publishStatus(Now);
      continue;
    }
    step(consensus::tick{}, Now);
    for (const auto &Frame : Frames) {
      if (Frame.Kind == net::message_kind::Raft) {
        handle(Frame, Now);
      }
    }
    // Applies what these messages committed before anything asks for the
    // leader's duties: a store behind the commit index counts as not leading,
    // which would drop calls and forget the nodes' configuration positions.
    carryOut(Now);
    Now = monotonic_clock::now(); // a sync may outlast the leader lease
    for (const auto &Frame : Frames) {
      if (Frame.Kind != net::message_kind::Raft) {
        handle(Frame, Now);
      }
    }
    if (leading(Now)) {
      const std::uint64_t Term = Raft.status().Term;
      for (auto &Command : Duties.tick(Term, Store, Now)) {
        Queue.push_back({std::move(Command), {}});
      }
      if (Found) {
        syncInstances(*Found);
      }
      changeVoters(Now);
    } else {
      Duties.stop();
    }
    propose(Now);
    carryOut(Now);
    saveSnapshot(Now);
    publishStatus(Now);
  }
}

void voter::state::handle(const voter_frame &Frame, instant Now) {
  switch (Frame.Kind) {
  case net::message_kind::Raft:
    handleRaft(Frame, Now);
    return;
  case net::message_kind::Heartbeat:
    handleHeartbeat(Frame, Now);
    return;
  case net::message_kind::ClaimRequest:
    handleCommand(Frame, Now);
    return;
  case net::message_kind::ApiRequest:
    handleApi(Frame, Now);
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
                       Raft.status().Leader, leading(Now),
                       Raft.status().Membership, Store, Now);
  }
}

void voter::state::handleCommand(const voter_frame &Frame, instant Now) {
  const auto Message = decode<command_message>(Frame.Payload);
  if (Message.has_error() || !leading(Now)) {
    return; // the sender repeats it to the leader
  }
  auto Command = decode<store::command>(Message.value().Command);
  if (Command.has_value()) {
    Queue.push_back(
        {std::move(Command.value()),
         {command_source::kind::Command, Frame.From, Message.value().Number}});
  }
}

void voter::state::handleApi(const voter_frame &Frame, instant Now) {
  const auto Call = decode<api_request_message>(Frame.Payload);
  if (Call.has_error() || !leading(Now)) {
    return;
  }
  auto Plan = planApiCall(Call.value(), Store, Duties.liveNodes());
  const command_source Source{command_source::kind::Api, Frame.From,
                              Call.value().Number};
  if (Plan.Command) {
    Queue.push_back({std::move(*Plan.Command), Source});
    return;
  }
  const api_reply_message Reply{Source.Number,
                                static_cast<std::uint32_t>(Plan.Answer.Status),
                                std::move(Plan.Answer.Body)};
  Send(Source.Node, net::message_kind::ApiReply, encode(Reply));
}

void voter::state::syncInstances(
    const std::vector<store::named_instance> &Found) {
  auto Sync =
      store::diffInstances(Store.list(store::resource_kind::Instance), Found);
  if (!Sync) {
    return;
  }
  logEvent(log_level::Info, "instances_changed",
           {{"changed", Sync->Changed.size()}, {"gone", Sync->Gone.size()}});
  Queue.push_back({store::makeCommand(std::move(*Sync)), {}});
}

void voter::state::changeVoters(instant Now) {
  const auto Change = Duties.voterChange(Raft.status().Membership, Now);
  if (!Change) {
    return;
  }
  step(*Change, Now);
  const auto &Refused = Outputs.back().Rejection;
  logEvent(log_level::Info, "voter_change",
           {{"change", nameOf(Change->Kind)},
            {"peer", number(Change->Node)},
            {"disk", number(Change->DirectoryId)},
            {"refused", Refused ? nameOf(Refused->Reason) : "no"}});
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
    const std::size_t End =
        std::min(Queue.size(), Start + MostCommandsPerEntry);
    store::batch Batch;
    Batch.LeaderTimeMs = Duties.logTimeMs(Now);
    proposed_entry Entry;
    for (; Start < End; ++Start) {
      Batch.Commands.push_back(std::move(Queue[Start].Command));
      Entry.Sources.push_back(Queue[Start].Source);
    }
    step(consensus::proposal_batch{{store::encodeBatch(Batch)}}, Now);
    if (const auto &Accepted = Outputs.back().AcceptedRange) {
      Entry.Term = Accepted->Term;
      Proposed[Accepted->FirstIndex] = std::move(Entry);
    }
  }
  Queue.clear();
}

void voter::state::carryOut(instant Now) {
  while (!Outputs.empty() && !Failed) {
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
          storageFailed({storage::storage_errc::Corrupt, "snapshot",
                         "the received snapshot cannot be read", 0},
                        Now);
          return;
        }
        Applied = Output.SnapshotToRestore->Meta.Index;
        SnapshotAt = Applied;
        Proposed.clear();
      }
      for (const auto &Entry : Output.CommittedEntries) {
        applyEntry(Entry);
        if (Failed) {
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
      storageFailed(Written.error(), monotonic_clock::now());
      return false;
    }
    Sequence = Output.Writes.Sequence;
  }
  if (Sequence != 0) {
    if (const auto Synced = Log->sync(); Synced.has_error()) {
      storageFailed(Synced.error(), monotonic_clock::now());
      return false;
    }
  }
  return true;
}

void voter::state::applyEntry(const consensus::log_entry &Entry) {
  Applied = Entry.Index;
  const auto It = Proposed.find(Entry.Index);
  if (Entry.Kind == consensus::entry_kind::Proposal) {
    const auto Result = Store.apply(Entry.Index, Entry.Payload);
    if (Result.Status == store::apply_status::UnsupportedVersion) {
      // Going on would leave a state that differs from the other voters'.
      storageFailed({storage::storage_errc::Corrupt, "log",
                     "an entry has a newer format than this program", 0},
                    monotonic_clock::now());
      return;
    }
    if (It != Proposed.end() && It->second.Term == Entry.Term) {
      const auto &Sources = It->second.Sources;
      for (std::size_t I = 0;
           I < std::min(Sources.size(), Result.Outcomes.size()); ++I) {
        reply(Sources[I], Result.Outcomes[I]);
      }
    }
  }
  if (It != Proposed.end()) {
    Proposed.erase(It);
  }
}

void voter::state::reply(const command_source &Source,
                         const store::command_outcome &Outcome) {
  switch (Source.Kind) {
  case command_source::kind::None:
    return;
  case command_source::kind::Command: {
    const command_reply_message Reply{Source.Number, encode(Outcome)};
    Send(Source.Node, net::message_kind::ClaimReply, encode(Reply));
    return;
  }
  case command_source::kind::Api: {
    auto Answer = answerOf(Outcome);
    const api_reply_message Reply{Source.Number,
                                  static_cast<std::uint32_t>(Answer.Status),
                                  std::move(Answer.Body)};
    Send(Source.Node, net::message_kind::ApiReply, encode(Reply));
    return;
  }
  }
}

void voter::state::saveSnapshot(instant Now) {
  const bool Due = Applied >= SnapshotAt + EntriesPerSnapshot ||
                   (Applied > SnapshotAt && Log->logBytes() > MostLogBytes);
  if (Failed || !Due) {
    return;
  }
  const auto Meta = Raft.snapshotMeta(Applied);
  if (!Meta) {
    return;
  }
  const auto Data = std::make_shared<const std::string>(Store.snapshot());
  if (const auto Saved = Log->saveSnapshot({*Meta, Data}); Saved.has_error()) {
    storageFailed(Saved.error(), Now);
    return;
  }
  SnapshotAt = Applied;
  step(consensus::snapshot_saved{Applied, Data}, Now);
  carryOut(Now);
  logEvent(log_level::Info, "snapshot_saved",
           {{"index", SnapshotAt}, {"bytes", Data->size()}});
}

bool voter::state::leading(instant Now) const {
  const auto Read = Raft.readIndex(Now);
  return Read.has_value() && Applied >= Read.value();
}

void voter::state::publishStatus(instant Now) {
  const auto Now2 = Raft.status();
  const std::lock_guard Lock(Mutex);
  Status.Leader = !Failed && leading(Now);
  Status.Term = Now2.Term;
  Status.Commit = Now2.CommitIndex;
  Status.Applied = Applied;
  Status.LogBytes = Log ? Log->logBytes() : 0;
  Status.StorageFailed = Failed;
  Status.Disk = Disk;
}

void voter::state::storageFailed(const storage::storage_error &Error,
                                 instant Now) {
  logEvent(log_level::Error, "storage_failed",
           {{"code", nameOf(Error.Code)},
            {"file", Error.File},
            {"detail", Error.Detail},
            {"errno", Error.Errno}});
  Failed = true;
  // A disk that is full or refuses a write may take writes later; what it
  // holds damaged stays so.
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

void voter::postInstances(std::vector<store::named_instance> Found) {
  {
    const std::lock_guard Lock(State->Mutex);
    State->FoundInstances = std::move(Found);
  }
  State->Wake.notify_one();
}

voter_status voter::status() const {
  const std::lock_guard Lock(State->Mutex);
  return State->Status;
}

} // namespace arbutus::control
