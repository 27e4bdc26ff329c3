#include "store/claim_table.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace arbutus::store {

namespace {

command_outcome outcomeOf(outcome_code Code) {
  command_outcome Outcome;
  Outcome.Code = Code;
  return Outcome;
}

command_outcome outcomeOf(outcome_code Code, const claim_record &Record) {
  auto Outcome = outcomeOf(Code);
  Outcome.ExpiresAtMs = Record.ExpiresAtMs;
  if (Code == outcome_code::Completed) {
    Outcome.Answer = Record.Answer;
  }
  return Outcome;
}

std::size_t bytesOf(const claim_answer &Answer) noexcept {
  return Answer.ContentType.size() + Answer.Body.size();
}

std::vector<field_error> checkClaim(const claim_command &Command) {
  std::vector<field_error> Errors;
  const auto Check = [&Errors](std::string Path, std::size_t Size,
                               std::size_t Most) {
    if (Size == 0 || Size > Most) {
      Errors.push_back({std::move(Path), field_code::OutOfRange,
                        std::to_string(Size) + " bytes; allowed are 1 to " +
                            std::to_string(Most)});
    }
  };
  Check("key", Command.Key.Key.size(), MaxClaimKeyBytes);
  Check("request_hash", Command.RequestHash.size(), MaxRequestHashBytes);
  return Errors;
}

} // namespace

command_outcome claim_table::claim(const claim_command &Command, bool Known) {
  auto Errors = checkClaim(Command);
  if (!Errors.empty()) {
    auto Outcome = outcomeOf(outcome_code::Invalid);
    Outcome.Errors = std::move(Errors);
    return Outcome;
  }
  if (isClosed(Command.Owner)) {
    return outcomeOf(outcome_code::OwnerClosed);
  }
  const auto Found = Claims.find(Command.Key);
  if (Found == Claims.end()) {
    if (!Known) {
      return outcomeOf(outcome_code::NotFound);
    }
    if (!hasRoom(Command.Key.Team)) {
      return outcomeOf(outcome_code::ClaimsFull);
    }
    ++CountOfTeam[Command.Key.Team];
    open(*Claims.try_emplace(Command.Key).first, Command);
    return outcomeOf(outcome_code::Granted);
  }
  const auto &Record = Found->second;
  const bool Resent = Record.Owner == Command.Owner;
  if (Record.State == claim_state::Withdrawn) {
    if (Resent) {
      return outcomeOf(outcome_code::Withdrawn);
    }
    if (!Known) {
      return outcomeOf(outcome_code::NotFound);
    }
    // Nothing ran under this key, so that a different request may use it.
    open(*Found, Command);
    return outcomeOf(outcome_code::Granted);
  }
  if (Record.RequestHash != Command.RequestHash) {
    return outcomeOf(outcome_code::Mismatch);
  }
  switch (Record.State) {
  case claim_state::Completed:
    return outcomeOf(outcome_code::Completed, Record);
  case claim_state::Unknown:
    return outcomeOf(outcome_code::Unknown, Record);
  default:
    return outcomeOf(Resent ? outcome_code::Granted : outcome_code::InProgress);
  }
}

command_outcome claim_table::complete(const complete_command &Command,
                                      std::int64_t NowMs,
                                      std::int64_t RetentionMs) {
  const auto Found = Claims.find(Command.Key);
  if (Found == Claims.end()) {
    return outcomeOf(outcome_code::NotFound);
  }
  auto &Record = Found->second;
  if (Record.Owner != Command.Owner) {
    return outcomeOf(outcome_code::NotOwner);
  }
  if (Record.State == claim_state::Withdrawn) {
    return outcomeOf(outcome_code::Withdrawn);
  }
  // An owner that was cut off may report late: the answer replaces `Unknown`.
  if (Record.State != claim_state::Completed) {
    storeAnswer(Record, Command.Answer);
    settle(*Found, claim_state::Completed, NowMs + RetentionMs);
  }
  return outcomeOf(outcome_code::Ok, Record);
}

command_outcome claim_table::withdraw(const withdraw_command &Command,
                                      std::int64_t NowMs) {
  const auto Found = Claims.find(Command.Key);
  if (Found == Claims.end()) {
    return outcomeOf(outcome_code::NotFound);
  }
  auto &Record = Found->second;
  if (Record.Owner != Command.Owner) {
    return outcomeOf(outcome_code::NotOwner);
  }
  if (Record.State == claim_state::Completed) {
    return outcomeOf(outcome_code::Completed, Record);
  }
  if (Record.State != claim_state::Withdrawn) {
    settle(*Found, claim_state::Withdrawn, NowMs + WithdrawnRetentionMs);
  }
  return outcomeOf(outcome_code::Ok);
}

command_outcome claim_table::abandon(const abandon_command &Command,
                                     std::int64_t NowMs,
                                     std::int64_t RetentionMs) {
  auto &Highest = Closed[Command.Node];
  Highest = std::max(Highest, Command.Incarnation);
  std::vector<entry *> Abandoned;
  if (const auto Open = OpenOfNode.find(Command.Node);
      Open != OpenOfNode.end()) {
    for (auto *Entry : Open->second) {
      if (Entry->second.Owner.Incarnation <= Highest) {
        Abandoned.push_back(Entry);
      }
    }
  }
  for (auto *Entry : Abandoned) {
    settle(*Entry, claim_state::Unknown, NowMs + RetentionMs);
  }
  auto Outcome = outcomeOf(outcome_code::Ok);
  Outcome.Count = Abandoned.size();
  return Outcome;
}

std::uint64_t claim_table::expire(std::int64_t NowMs) {
  std::uint64_t Count = 0;
  while (!ByExpiry.empty() && ByExpiry.begin()->first <= NowMs) {
    const auto *Entry = ByExpiry.begin()->second;
    ByExpiry.erase(ByExpiry.begin());
    AnswerBytes -= bytesOf(Entry->second.Answer);
    if (const auto Team = CountOfTeam.find(Entry->first.Team);
        --Team->second == 0) {
      CountOfTeam.erase(Team);
    }
    Claims.erase(Claims.find(Entry->first));
    ++Count;
  }
  return Count;
}

std::set<std::pair<node_id, incarnation>> claim_table::openOwners() const {
  std::set<std::pair<node_id, incarnation>> Owners;
  for (const auto &[Node, Entries] : OpenOfNode) {
    for (const entry *Entry : Entries) {
      Owners.emplace(Node, Entry->second.Owner.Incarnation);
    }
  }
  return Owners;
}

bool claim_table::rebuild() {
  for (auto &Entry : Claims) {
    const auto &Record = Entry.second;
    const bool Open = Record.State == claim_state::Open;
    if (Open != (Record.ExpiresAtMs == 0) ||
        bytesOf(Record.Answer) > MaxAnswerBytes + MaxContentTypeBytes ||
        (Open && isClosed(Record.Owner))) {
      return false;
    }
    if (Open) {
      OpenOfNode[Record.Owner.Node].insert(&Entry);
    } else {
      ByExpiry.emplace(Record.ExpiresAtMs, &Entry);
    }
    ++CountOfTeam[Entry.first.Team];
    AnswerBytes += bytesOf(Record.Answer);
  }
  return Claims.size() <= MaxClaims;
}

bool claim_table::isClosed(const claim_owner &Owner) const {
  const auto Found = Closed.find(Owner.Node);
  return Found != Closed.end() && Owner.Incarnation <= Found->second;
}

bool claim_table::hasRoom(team_id Team) const {
  const auto Count = CountOfTeam.find(Team);
  return Claims.size() < MaxClaims &&
         (Count == CountOfTeam.end() || Count->second < MaxClaimsPerTeam);
}

void claim_table::open(entry &Entry, const claim_command &Command) {
  settle(Entry, claim_state::Open, 0);
  auto &Record = Entry.second;
  Record.RequestHash = Command.RequestHash;
  Record.Owner = Command.Owner;
  OpenOfNode[Command.Owner.Node].insert(&Entry);
}

void claim_table::settle(entry &Entry, claim_state State,
                         std::int64_t ExpiresAtMs) {
  auto &Record = Entry.second;
  if (const auto Open = OpenOfNode.find(Record.Owner.Node);
      Open != OpenOfNode.end()) {
    Open->second.erase(&Entry);
    if (Open->second.empty()) {
      OpenOfNode.erase(Open);
    }
  }
  const auto [First, Last] = ByExpiry.equal_range(Record.ExpiresAtMs);
  const auto Old = std::find_if(
      First, Last, [&](const auto &Row) { return Row.second == &Entry; });
  if (Old != Last) {
    ByExpiry.erase(Old);
  }
  Record.State = State;
  Record.ExpiresAtMs = ExpiresAtMs;
  if (State != claim_state::Open) {
    ByExpiry.emplace(ExpiresAtMs, &Entry);
  }
}

void claim_table::storeAnswer(claim_record &Record,
                              const claim_answer &Answer) {
  Record.Answer.Status = Answer.Status;
  Record.Answer.StatusOnly = Answer.StatusOnly ||
                             Answer.Body.size() > MaxAnswerBytes ||
                             Answer.ContentType.size() > MaxContentTypeBytes ||
                             AnswerBytes + bytesOf(Answer) > MaxAllAnswerBytes;
  if (!Record.Answer.StatusOnly) {
    Record.Answer.ContentType = Answer.ContentType;
    Record.Answer.Body = Answer.Body;
    AnswerBytes += bytesOf(Answer);
  }
}

} // namespace arbutus::store
