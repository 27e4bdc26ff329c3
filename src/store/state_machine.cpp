#include "store/state_machine.h"

#include "base/digest.h"
#include "store/claim_table.h"
#include "store/config_rules.h"
#include "store/request_table.h"
#include "store/resource_table.h"
#include "store/validation.h"
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <exception>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace arbutus::store {

namespace {

/// First bytes of a snapshot, followed by its version and checksum.
constexpr std::string_view SnapshotMagic = "ARBSTORE";
constexpr char SnapshotVersion = 1;
constexpr std::size_t SnapshotHeaderBytes =
    SnapshotMagic.size() + 1 + sizeof(std::uint64_t);

/// Referrers that an answer lists. `Count` has the number of all.
constexpr std::size_t MaxReferrers = 100;

/// Length of the name of a software version.
constexpr std::size_t MaxVersionBytes = 128;

/// Region of a failure domain that is only known from an order about it.
constexpr std::string_view UnassignedRegion = "unassigned";

/// Packs into a string without a second buffer.
struct string_stream {
  std::string &Out;
  void write(const char *Data, std::size_t Size) { Out.append(Data, Size); }
};

std::array<char, sizeof(std::uint64_t)> bigEndian(std::uint64_t Value) {
  std::array<char, sizeof(std::uint64_t)> Bytes{};
  for (std::size_t I = 0; I < Bytes.size(); ++I) {
    Bytes[Bytes.size() - 1 - I] = static_cast<char>(Value >> (8U * I));
  }
  return Bytes;
}

command_outcome outcomeOf(outcome_code Code, resource_ptr Object = nullptr) {
  command_outcome Outcome;
  Outcome.Code = Code;
  Outcome.Object = std::move(Object);
  return Outcome;
}

command_outcome invalid(std::vector<field_error> Errors) {
  Errors.resize(std::min(Errors.size(), MaxFieldErrors));
  auto Outcome = outcomeOf(outcome_code::Invalid);
  Outcome.Errors = std::move(Errors);
  return Outcome;
}

/// Reads a value in place, for types that cannot be copied.
template <class T> bool decodeInto(std::string_view Bytes, T &Value) {
  try {
    const auto Most = Bytes.size();
    const msgpack::unpack_limit Limit(Most, Most, Most, Most, Most, 32);
    std::size_t Offset = 0;
    const auto Handle = msgpack::unpack(Bytes.data(), Bytes.size(), Offset,
                                        nullptr, nullptr, Limit);
    Handle.get().convert(Value);
    return Offset == Bytes.size();
  } catch (const std::exception &) {
    return false;
  }
}

/// Hash of a write without its request id.
template <class Write> std::uint64_t contentHash(const Write &Command) {
  Write Content = Command;
  Content.RequestId.clear();
  // The type is part of the content: a put and a delete always differ.
  return hash64(encode(makeCommand(std::move(Content))));
}

} // namespace

/// The content of a snapshot. The members are packed in this order.
struct state_machine::state {
  std::uint64_t AppliedIndex = 0;
  std::int64_t LogTimeMs = 0;
  resource_table Resources;
  request_table Requests;
  claim_table Claims;

  MSGPACK_DEFINE(AppliedIndex, LogTimeMs, Resources, Requests, Claims)

  std::uint64_t advanceTime(std::int64_t LeaderTimeMs) {
    if (LeaderTimeMs <= LogTimeMs) {
      return 0;
    }
    LogTimeMs = LeaderTimeMs;
    Requests.expire(LogTimeMs);
    return Claims.expire(LogTimeMs);
  }

  std::int64_t claimRetentionMs() const {
    const auto Object = Resources.find(resource_kind::Policy, PolicyName);
    const policy Values = Object ? *Object->as<policy>() : policy{};
    return std::int64_t{Values.ClaimRetentionS} * 1'000;
  }

  bool isKnown(const claim_key &Key) const {
    return Resources.hasTeam(Key.Team) &&
           Resources.find(resource_kind::Service, Key.Service);
  }

  std::vector<field_error> check(const put_command &Put) const {
    auto Errors = checkValues(Put.Name, Put.Spec);
    auto More = Resources.checkReferences(Put.Name, Put.Spec);
    std::move(More.begin(), More.end(), std::back_inserter(Errors));
    return Errors;
  }

  /// Runs a write unless its request id has an answer already, and remembers
  /// the answer.
  template <class Write> command_outcome runOnce(const Write &Command) {
    if (auto Errors = checkRequestId(Command.RequestId); !Errors.empty()) {
      return invalid(std::move(Errors));
    }
    const auto Hash = contentHash(Command);
    if (const auto *Record = Requests.find(Command.RequestId)) {
      if (Record->ContentHash != Hash) {
        return outcomeOf(outcome_code::RequestIdReused);
      }
      auto Answer = decode<command_outcome>(Record->Answer);
      auto Outcome = std::move(Answer).value();
      Outcome.Resent = true;
      return Outcome;
    }
    auto Outcome = write(Command);
    Requests.add({Command.RequestId, Hash, LogTimeMs, encode(Outcome)});
    return Outcome;
  }

  command_outcome write(const put_command &Put) {
    const auto Kind = kindOf(Put.Spec);
    const auto Current = Resources.find(Kind, Put.Name);
    if (Kind != resource_kind::Pool) {
      if (!Current && Put.ExpectedVersion != 0) {
        return outcomeOf(outcome_code::NotFound);
      }
      if (Current && Current->Version != Put.ExpectedVersion) {
        return outcomeOf(outcome_code::Conflict, Current);
      }
    }
    if (auto Errors = check(Put); !Errors.empty()) {
      return invalid(std::move(Errors));
    }
    return outcomeOf(outcome_code::Ok, Resources.put(Put.Name, Put.Spec));
  }

  command_outcome write(const delete_command &Delete) {
    const auto &Key = Delete.Key;
    if (Key.Kind == resource_kind::Pool) {
      return invalid({{"kind", field_code::NotAllowed,
                       "a pool is deleted with its service"}});
    }
    if (Key.Kind == resource_kind::Rollout) {
      return invalid({{"kind", field_code::NotAllowed,
                       "a rollout is kept, because it bars versions; it can "
                       "be aborted"}});
    }
    if (nameOf(Key.Kind) == "invalid") {
      return invalid({{"kind", field_code::UnknownValue, "unknown kind"}});
    }
    const auto Current = Resources.find(Key.Kind, Key.Name);
    if (!Current) {
      return outcomeOf(outcome_code::NotFound);
    }
    if (Current->Version != Delete.ExpectedVersion) {
      return outcomeOf(outcome_code::Conflict, Current);
    }
    auto Referrers = Resources.referrers(Key);
    if (!Referrers.empty()) {
      auto Outcome = outcomeOf(outcome_code::InUse, Current);
      Outcome.Count = Referrers.size();
      Referrers.resize(std::min(Referrers.size(), MaxReferrers));
      Outcome.Referrers = std::move(Referrers);
      return Outcome;
    }
    return outcomeOf(outcome_code::Ok, Resources.erase(Key));
  }

  command_outcome run(const put_command &Put) { return runOnce(Put); }
  command_outcome run(const delete_command &Delete) { return runOnce(Delete); }
  command_outcome run(const claim_command &Claim) {
    return Claims.claim(Claim, isKnown(Claim.Key));
  }
  command_outcome run(const complete_command &Complete) {
    return Claims.complete(Complete, LogTimeMs, claimRetentionMs());
  }
  command_outcome run(const withdraw_command &Withdraw) {
    return Claims.withdraw(Withdraw, LogTimeMs);
  }
  command_outcome run(const abandon_command &Abandon) {
    return Claims.abandon(Abandon, LogTimeMs, claimRetentionMs());
  }
  command_outcome run(const assign_pool_command &Assign) {
    const auto Current = Resources.findPool(Assign.Pool);
    if (!Current) {
      return outcomeOf(outcome_code::NotFound);
    }
    if (Assign.Epoch <= Current->as<pool>()->Epoch) {
      return outcomeOf(outcome_code::StaleEpoch, Current);
    }
    return outcomeOf(
        outcome_code::Ok,
        Resources.put(Current->Name, {pool{Assign.Grantor, Assign.Epoch,
                                           Assign.Incarnation}}));
  }
  command_outcome run(const replace_config_command &Replace) {
    const auto Current =
        Resources.find(resource_kind::Configuration, FleetConfigName);
    if (Current &&
        Replace.Config.Version <= Current->as<fleet_config>()->Version) {
      auto Outcome = outcomeOf(outcome_code::Ok);
      Outcome.Resent = true;
      return Outcome;
    }
    if (auto Errors = checkConfig(Replace.Config); !Errors.empty()) {
      return invalid(std::move(Errors));
    }
    Resources.put(std::string(FleetConfigName), {Replace.Config});
    return outcomeOf(outcome_code::Ok);
  }
  command_outcome run(const set_domain_command &Set) {
    const auto Current = Resources.find(resource_kind::FailureDomain, Set.Name);
    failure_domain Spec{std::string(UnassignedRegion), Set.State};
    if (Current) {
      Spec.Region = Current->as<failure_domain>()->Region;
      if (Current->as<failure_domain>()->State == Set.State) {
        return outcomeOf(outcome_code::Ok, Current);
      }
    }
    return outcomeOf(outcome_code::Ok, Resources.put(Set.Name, {Spec}));
  }
  command_outcome run(const sync_instances_command &Sync) {
    for (const auto &Name : Sync.Gone) {
      if (Resources.find(resource_kind::Instance, Name)) {
        Resources.erase({resource_kind::Instance, Name});
      }
    }
    for (const auto &Changed : Sync.Changed) {
      Resources.put(Changed.Name, {Changed.Spec});
    }
    return outcomeOf(outcome_code::Ok);
  }
  command_outcome run(const quarantine_command &Quarantine) {
    Resources.put(
        quarantineName(Quarantine.Segments),
        {quarantine{Quarantine.Segments, LogTimeMs + Quarantine.DurationMs}});
    return outcomeOf(outcome_code::Ok);
  }
  command_outcome run(const start_rollout_command &Start) {
    if (auto Errors = check(Start); !Errors.empty()) {
      return invalid(std::move(Errors));
    }
    const auto Current = Resources.find(resource_kind::Rollout, Start.Service);
    const auto *Former = Current ? Current->as<rollout>() : nullptr;
    if (Former != nullptr && isRepeat(*Former, Start)) {
      auto Outcome = outcomeOf(outcome_code::Ok, Current);
      Outcome.Resent = true;
      return Outcome;
    }
    if (Former != nullptr && Former->isRunning()) {
      return outcomeOf(outcome_code::Conflict, Current);
    }
    rollout Spec;
    Spec.Target = Start.Target;
    Spec.Replaced = otherVersions(Start);
    Spec.StartedMs = LogTimeMs;
    Spec.DeadlineMs = LogTimeMs + Start.DurationMs;
    Spec.PhaseStartedMs = LogTimeMs;
    Spec.CanaryShare = Start.CanaryShare;
    Spec.Reason = "ordered";
    return outcomeOf(outcome_code::Ok, Resources.put(Start.Service, {Spec}));
  }
  command_outcome run(const advance_rollout_command &Advance) {
    const auto Current =
        Resources.find(resource_kind::Rollout, Advance.Service);
    if (!Current) {
      return outcomeOf(outcome_code::NotFound);
    }
    rollout Spec = *Current->as<rollout>();
    if (!Spec.isRunning() || Spec.StartedMs != Advance.StartedMs ||
        Advance.Phase <= Spec.Phase) {
      return outcomeOf(outcome_code::Conflict, Current);
    }
    Spec.Phase = Advance.Phase;
    Spec.PhaseStartedMs = LogTimeMs;
    Spec.Reason = Advance.Reason;
    return outcomeOf(outcome_code::Ok, Resources.put(Advance.Service, {Spec}));
  }

  /// True if the order asks for what the rollout does or did.
  bool isRepeat(const rollout &Former,
                const start_rollout_command &Start) const {
    const bool MayBeResent = Former.Phase != rollout_phase::RolledBack ||
                             LogTimeMs - Former.StartedMs < RolloutResendMs;
    return Former.Target == Start.Target && MayBeResent;
  }

  std::vector<field_error> check(const start_rollout_command &Start) const {
    std::vector<field_error> Errors;
    const auto Object =
        Resources.find(resource_kind::Configuration, FleetConfigName);
    const auto *Config = Object ? Object->as<fleet_config>() : nullptr;
    const bool Known =
        Config != nullptr &&
        std::any_of(Config->Services.begin(), Config->Services.end(),
                    [&](const auto &S) { return S.Name == Start.Service; });
    if (!Known) {
      Errors.push_back({"service", field_code::NoSuchObject,
                        "the configuration has no such service"});
    }
    if (Start.Target.empty() || Start.Target.size() > MaxVersionBytes) {
      Errors.push_back(
          {"target", field_code::OutOfRange,
           fmt::format("a version has 1 to {} bytes", MaxVersionBytes)});
    }
    if (Start.DurationMs <= 0 || Start.DurationMs > MaxRolloutMs) {
      Errors.push_back({"duration_ms", field_code::OutOfRange,
                        fmt::format("{} is not between 1 and {}",
                                    Start.DurationMs, MaxRolloutMs)});
    }
    return Errors;
  }

  /// Versions of the service's upstreams beside the one that is ordered.
  std::vector<std::string>
  otherVersions(const start_rollout_command &Start) const {
    std::set<std::string> Versions;
    for (const auto &[Name, Object] :
         Resources.objects(resource_kind::Instance)) {
      const auto *Spec = Object->as<instance>();
      if (Spec->Service == Start.Service && Spec->Version != Start.Target) {
        Versions.insert(Spec->Version);
      }
    }
    return {Versions.begin(), Versions.end()};
  }

  command_outcome run(const expire_command &Expire) {
    auto Outcome = outcomeOf(outcome_code::Ok);
    Outcome.Count = advanceTime(Expire.LeaderTimeMs);
    endQuarantines();
    return Outcome;
  }

  void endQuarantines() {
    std::vector<object_key> Ended;
    for (const auto &[Name, Object] :
         Resources.objects(resource_kind::Quarantine)) {
      if (Object->as<quarantine>()->UntilMs <= LogTimeMs) {
        Ended.push_back(Object->key());
      }
    }
    for (const auto &Key : Ended) {
      Resources.erase(Key);
    }
  }
};

state_machine::state_machine() : State(std::make_unique<state>()) {}
state_machine::state_machine(state_machine &&) noexcept = default;
state_machine &state_machine::operator=(state_machine &&) noexcept = default;
state_machine::~state_machine() = default;

applied state_machine::apply(std::uint64_t Index, std::string_view Bytes) {
  applied Result;
  Result.Index = Index;
  Result.Revision = State->Resources.currentRevision();
  if (Index <= State->AppliedIndex) {
    Result.Status = apply_status::AlreadyApplied;
    return Result;
  }
  if (!Bytes.empty() && Bytes.front() > BatchVersion) {
    Result.Status = apply_status::UnsupportedVersion;
    return Result;
  }
  State->AppliedIndex = Index;
  const auto Batch = decodeBatch(Bytes);
  if (!Batch) {
    Result.Status = apply_status::Malformed;
    return Result;
  }
  State->advanceTime(Batch.value().LeaderTimeMs);
  Result.Outcomes.reserve(Batch.value().Commands.size());
  for (const auto &Command : Batch.value().Commands) {
    Result.Outcomes.push_back(std::visit(
        [this](const auto &Held) { return State->run(Held); }, Command.Value));
  }
  Result.Revision = State->Resources.currentRevision();
  return Result;
}

std::uint64_t state_machine::appliedIndex() const noexcept {
  return State->AppliedIndex;
}

revision state_machine::currentRevision() const noexcept {
  return State->Resources.currentRevision();
}

std::int64_t state_machine::logTimeMs() const noexcept {
  return State->LogTimeMs;
}

resource_ptr state_machine::find(resource_kind Kind,
                                 std::string_view Name) const {
  return State->Resources.find(Kind, Name);
}

std::vector<resource_ptr> state_machine::list(resource_kind Kind) const {
  std::vector<resource_ptr> Found;
  for (const auto &[Name, Object] : State->Resources.objects(Kind)) {
    Found.push_back(Object);
  }
  return Found;
}

std::vector<resource_ptr> state_machine::listAll() const {
  std::vector<resource_ptr> Found;
  for (int Kind = 0; Kind < ResourceKinds; ++Kind) {
    auto More = list(static_cast<resource_kind>(Kind));
    std::move(More.begin(), More.end(), std::back_inserter(Found));
  }
  return Found;
}

std::vector<resource_ptr>
state_machine::poolMembers(std::string_view Service) const {
  std::vector<resource_ptr> Found;
  for (const auto &[Name, Object] :
       State->Resources.objects(resource_kind::Upstream)) {
    const auto &Services = Object->as<upstream>()->Services;
    if (std::find(Services.begin(), Services.end(), Service) !=
        Services.end()) {
      Found.push_back(Object);
    }
  }
  return Found;
}

std::vector<field_error> state_machine::check(const put_command &Put) const {
  return State->check(Put);
}

result<std::vector<change>, compacted>
state_machine::changesSince(revision Since,
                            const std::vector<resource_kind> &Kinds,
                            std::size_t Most) const {
  const auto Oldest = State->Resources.oldestRevision();
  if (Since < Oldest) {
    return compacted{Oldest};
  }
  const auto &History = State->Resources.history();
  std::vector<change> Found;
  // Every change has its own revision, so that positions follow from numbers.
  for (auto I = number(Since) - number(Oldest);
       I < History.size() && Found.size() < Most; ++I) {
    const auto &Change = History[I];
    if (Kinds.empty() ||
        std::find(Kinds.begin(), Kinds.end(), Change.Key.Kind) != Kinds.end()) {
      Found.push_back(Change);
    }
  }
  return Found;
}

std::string state_machine::snapshot() const {
  std::string Out(SnapshotHeaderBytes, '\0');
  string_stream Stream{Out};
  msgpack::pack(Stream, *State);
  SnapshotMagic.copy(Out.data(), SnapshotMagic.size());
  Out[SnapshotMagic.size()] = SnapshotVersion;
  const auto Sum =
      bigEndian(hash64(std::string_view(Out).substr(SnapshotHeaderBytes)));
  std::copy(Sum.begin(), Sum.end(),
            Out.begin() + static_cast<std::ptrdiff_t>(SnapshotMagic.size()) +
                1);
  return Out;
}

result<void, snapshot_error> state_machine::restore(std::string_view Bytes) {
  if (Bytes.size() < SnapshotHeaderBytes ||
      Bytes.substr(0, SnapshotMagic.size()) != SnapshotMagic) {
    return snapshot_error{snapshot_error_code::NotASnapshot,
                          fmt::format("{} bytes without the header of a "
                                      "snapshot",
                                      Bytes.size())};
  }
  const auto Version = static_cast<unsigned char>(Bytes[SnapshotMagic.size()]);
  if (Version != SnapshotVersion) {
    return snapshot_error{snapshot_error_code::UnsupportedVersion,
                          fmt::format("version {}; this program reads {}",
                                      Version, int{SnapshotVersion})};
  }
  const auto Body = Bytes.substr(SnapshotHeaderBytes);
  const auto Sum = bigEndian(hash64(Body));
  if (Bytes.substr(SnapshotMagic.size() + 1, Sum.size()) !=
      std::string_view(Sum.data(), Sum.size())) {
    return snapshot_error{
        snapshot_error_code::ChecksumMismatch,
        fmt::format("the checksum does not fit {} bytes", Body.size())};
  }
  auto Next = std::make_unique<state>();
  if (!decodeInto(Body, *Next)) {
    return snapshot_error{snapshot_error_code::Malformed,
                          "the content cannot be decoded"};
  }
  if (!Next->Resources.rebuild() || !Next->Requests.rebuild() ||
      !Next->Claims.rebuild()) {
    return snapshot_error{snapshot_error_code::Inconsistent,
                          "the content contradicts itself"};
  }
  State = std::move(Next);
  return outcome::success();
}

std::size_t state_machine::requestIds() const noexcept {
  return State->Requests.size();
}

std::size_t state_machine::claims() const noexcept {
  return State->Claims.size();
}

std::set<std::pair<node_id, incarnation>> state_machine::openOwners() const {
  return State->Claims.openOwners();
}

} // namespace arbutus::store
