#include "load_worker.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutus::tools {

namespace {

constexpr duration RetryDelay = 50ms;
constexpr duration AskRetryDelay = 200ms;
constexpr duration LatestEarlyResend = 20ms;
constexpr std::size_t MostKnownRefs = 256;
constexpr int AskTimeoutMs = 2000;

/// Share of `Total` that thread `Index` of `Count` takes.
int shareOf(int Total, int Index, int Count) noexcept {
  return Total / Count + (Index < Total % Count ? 1 : 0);
}

std::string transportError(CURLcode Code) {
  switch (Code) {
  case CURLE_OK:
    return "";
  case CURLE_COULDNT_CONNECT:
    return "connect_failed";
  case CURLE_OPERATION_TIMEDOUT:
    return "timeout";
  case CURLE_GOT_NOTHING:
  case CURLE_SEND_FAIL_REWIND:
  case CURLE_RECV_ERROR:
  case CURLE_SEND_ERROR:
    return "closed_without_answer";
  case CURLE_PARTIAL_FILE:
    return "closed_in_answer";
  default:
    return "curl_" + std::to_string(int(Code));
  }
}

/// Value of a header line if it has this name, else empty.
std::string_view valueOfHeader(std::string_view Line, std::string_view Name) {
  if (Line.size() <= Name.size() || Line[Name.size()] != ':' ||
      !curl_strnequal(Line.data(), Name.data(), Name.size())) {
    return {};
  }
  Line.remove_prefix(Name.size() + 1);
  while (!Line.empty() && Line.front() == ' ') {
    Line.remove_prefix(1);
  }
  return Line;
}

} // namespace

load_worker::load_worker(const load_options &Options, int Thread, instant Start)
    : Options(Options), Thread(Thread), Start(Start),
      End(Start + Options.Length), Stats(Options.Teams.size()),
      Series(Options.Teams.size(), Start) {
  const auto Prefix = Options.RunId + "-" + std::to_string(Thread);
  for (const auto &Team : Options.Teams) {
    Teams.push_back({request_planner(Team, Prefix,
                                     Options.Seed * 1000 +
                                         static_cast<std::uint64_t>(Thread)),
                     address_book::fixed(Options.Targets, Team.Skew),
                     0,
                     {}});
  }
}

void load_worker::run() {
  for (std::size_t Team = 0; Team < Teams.size(); ++Team) {
    if (Options.Targets.empty()) {
      ask(Team, 0);
    } else {
      startTeam(Team);
    }
  }
  sampleInFlight();
  Loop.run([this] {
    const auto Now = monotonic_clock::now();
    const bool Idle = std::all_of(Teams.begin(), Teams.end(), [](auto &Team) {
      return Team.InFlight == 0;
    });
    return Now >= End && (Idle || Now >= End + Options.Drain);
  });
  for (std::size_t Team = 0; Team < Teams.size(); ++Team) {
    Stats[Team].Unfinished += Teams[Team].InFlight;
  }
}

void load_worker::startTeam(std::size_t Team) {
  const auto &Profile = Options.Teams[Team];
  const auto First =
      std::max(monotonic_clock::now(),
               Start + duration(std::int64_t(Profile.StartSeconds * 1e6)));
  if (Profile.Rate > 0) {
    scheduleArrival(Team, First);
    return;
  }
  const int Count = shareOf(Profile.Concurrency, Thread, Options.Threads);
  for (int Index = 0; Index < Count; ++Index) {
    Loop.callAt(First, [this, Team, First] { launch(Team, First, true); });
  }
}

void load_worker::scheduleArrival(std::size_t Team, instant At) {
  const double Rate = Options.Teams[Team].Rate / Options.Threads;
  std::exponential_distribution<double> Gap(Rate);
  const auto Next =
      At + duration(std::int64_t(Gap(Teams[Team].Planner.random()) * 1e6));
  Loop.callAt(Next, [this, Team, Next] {
    launch(Team, Next, false);
    if (active(Team, Next)) {
      scheduleArrival(Team, Next);
    }
  });
}

void load_worker::ask(std::size_t Team, std::size_t Attempt) {
  auto Call = std::make_unique<http_call>();
  auto &Book = Teams[Team].Book;
  const bool First = Book.size() == 0;
  // A known address is asked first, then those from the flag.
  const auto &Address =
      First || Attempt % 2 == 1
          ? Options.Ask[Attempt / (First ? 1 : 2) % Options.Ask.size()]
          : Book.pick(Teams[Team].Planner.random());
  Call->Url = "http://" + Address + "/v1/addresses";
  Call->Headers = {"Authorization: Bearer " + Options.Teams[Team].ApiKey};
  Call->TimeoutMs = AskTimeoutMs;
  auto Body = std::make_shared<std::string>();
  Call->OnHeader = [](std::string_view) {};
  Call->OnBody = [Body](std::string_view Bytes, int) { Body->append(Bytes); };
  Call->OnDone = [this, Team, Attempt, Body, First](int Status, CURLcode) {
    const auto Answer = nlohmann::json::parse(*Body, nullptr, false);
    std::vector<std::string> Addresses;
    if (Status == 200 && Answer.is_object() && Answer.contains("addresses")) {
      for (const auto &Row : Answer["addresses"]) {
        Addresses.push_back(Row.value("address", ""));
      }
    }
    const auto Now = monotonic_clock::now();
    if (Now >= End) {
      return;
    }
    if (Addresses.empty()) {
      ++Stats[Team].AskFailures;
      Loop.callAt(Now + AskRetryDelay,
                  [this, Team, Attempt] { ask(Team, Attempt + 1); });
      return;
    }
    Teams[Team].Book = address_book::ordered(std::move(Addresses));
    const auto Ttl = std::max(100, Answer.value("ttl_ms", 5000));
    Loop.callAt(Now + std::chrono::milliseconds(Ttl),
                [this, Team] { ask(Team, 0); });
    if (First) {
      startTeam(Team);
    }
  };
  Loop.start(std::move(Call));
}

void load_worker::launch(std::size_t Team, instant Intended, bool Closed) {
  const auto Now = monotonic_clock::now();
  if (!active(Team, Now)) {
    return;
  }
  if (Loop.inFlight() >= Options.MostInFlight) {
    ++Stats[Team].Errors["load_tool_limit"];
    return;
  }
  auto Request = std::make_shared<request>();
  Request->Team = Team;
  Request->Plan = Teams[Team].Planner.next(knownRef(Team));
  Request->Intended = Intended;
  Request->Closed = Closed;
  ++Stats[Team].Sent;
  ++Stats[Team].SentByKind[std::string(nameOf(Request->Plan.Kind))];
  ++Teams[Team].InFlight;
  planResend(Request);
  send(Request, Teams[Team].Book.pick(Teams[Team].Planner.random()));
}

void load_worker::planResend(const request_ptr &Request) {
  auto &Random = Teams[Request->Team].Planner.random();
  std::uniform_real_distribution<double> Percent(0, 100);
  if (!Request->Plan.WithKey || Percent(Random) >= Options.ResendPercent) {
    return;
  }
  // Half of the resends race with the first request, half follow its answer.
  Request->ResendAfterAnswer = Random() % 2 == 0;
  if (!Request->ResendAfterAnswer) {
    const duration Delay(
        std::int64_t(Random() % std::uint64_t(toMicros(LatestEarlyResend))));
    Loop.callAt(monotonic_clock::now() + Delay,
                [this, Request] { resend(*Request); });
  }
}

void load_worker::resend(const request &Original) {
  auto &Team = Teams[Original.Team];
  auto Request = std::make_shared<request>();
  Request->Team = Original.Team;
  Request->Plan = Original.Plan;
  Request->Intended = monotonic_clock::now();
  Request->IsResend = true;
  ++Stats[Original.Team].Resends;
  ++Team.InFlight;
  auto &Random = Team.Planner.random();
  const auto Address = Options.ResendOtherRouter
                           ? Team.Book.pickOther(Original.Address, Random)
                           : Original.Address;
  send(Request, Address);
}

void load_worker::send(const request_ptr &Request, const std::string &Address) {
  const auto &Plan = Request->Plan;
  ++Request->Attempts;
  Request->Address = Address;
  Request->Check.emplace(Plan);
  auto Call = std::make_unique<http_call>();
  Call->Url = "http://" + Address + Plan.Path;
  Call->Post = Plan.Kind != request_kind::Get;
  Call->Body = Plan.Body;
  Call->TimeoutMs = Plan.TimeoutMs;
  Call->Headers = {"X-Request-Id: " + Plan.RequestId};
  if (const auto &Key = Options.Teams[Request->Team].ApiKey; !Key.empty()) {
    Call->Headers.push_back("Authorization: Bearer " + Key);
  }
  if (Call->Post) {
    Call->Headers.emplace_back("Content-Type: application/json");
    Call->Headers.emplace_back("Expect:");
  }
  if (Plan.WithKey) {
    Call->Headers.push_back("Idempotency-Key: " + Plan.Ref);
  }
  Call->OnHeader = [this, Request](std::string_view Line) {
    onHeader(*Request, Line);
  };
  Call->OnBody = [this, Request](std::string_view Bytes, int Status) {
    onBody(*Request, Bytes, Status);
  };
  Call->OnDone = [this, Request](int Status, CURLcode Code) {
    onDone(Request, Status, Code);
  };
  Loop.start(std::move(Call));
}

void load_worker::onHeader(const request &Request, std::string_view Line) {
  auto &Target = Stats[Request.Team];
  if (const auto Node = valueOfHeader(Line, "X-Arbutus-Node"); !Node.empty()) {
    ++Target.Nodes[std::string(Node)];
  }
  if (const auto Upstream = valueOfHeader(Line, "X-Arbutus-Upstream");
      !Upstream.empty()) {
    ++Target.Upstreams[std::string(Upstream)];
  }
}

void load_worker::onBody(request &Request, std::string_view Bytes, int Status) {
  const bool First = Request.Check->tokens() == 0;
  const int Tokens = Request.Check->consume(Bytes, Status);
  if (Tokens == 0) {
    return;
  }
  const auto Now = monotonic_clock::now();
  auto &Target = Stats[Request.Team];
  if (First) {
    Target.FirstToken[std::string(nameOf(Request.Plan.Kind))].add(
        Now - Request.Intended);
    addCost(Request.Team, Request.Plan.PromptTokens, Now);
  } else {
    Target.InterToken.add(Now - Request.LastToken);
  }
  Request.LastToken = Now;
  Request.Counted = true;
  Target.Tokens += Tokens;
  addCost(Request.Team, Tokens, Now);
}

void load_worker::onDone(const request_ptr &Request, int Status,
                         CURLcode Code) {
  const auto Result = Request->Check->finish(Status, transportError(Code));
  if (Request->Plan.Kind == request_kind::Post) {
    // A connection that was never made counts as told not to have run.
    auto Noted = Result;
    if (Code == CURLE_COULDNT_CONNECT) {
      Noted.Outcome = "not_run";
    }
    Posts.note(Request->Plan.Ref, Noted);
  }
  if (!retry(Request, Result, Code)) {
    finish(Request, Result);
  }
}

bool load_worker::retry(const request_ptr &Request, const check_result &Result,
                        CURLcode Code) {
  auto &Team = Teams[Request->Team];
  const bool NoConnection =
      Code == CURLE_COULDNT_CONNECT && Team.Book.isOrdered() &&
      Request->Attempts <= static_cast<int>(Team.Book.size());
  const bool NotRun =
      Result.Outcome == "not_run" && Request->Attempts <= Options.RetryNotRun;
  if (NoConnection || Result.Outcome == "not_run") {
    Team.Book.moveOn(Request->Address);
  }
  if (!NoConnection && !NotRun) {
    return false;
  }
  ++Stats[Request->Team].Reconnects;
  Loop.callAt(monotonic_clock::now() + (NotRun ? RetryDelay : duration(0)),
              [this, Request] {
                auto &Target = Teams[Request->Team];
                auto &Random = Target.Planner.random();
                send(Request,
                     Target.Book.isOrdered()
                         ? Target.Book.pick(Random)
                         : Target.Book.pickOther(Request->Address, Random));
              });
  return true;
}

void load_worker::finish(const request_ptr &Request,
                         const check_result &Result) {
  const auto Now = monotonic_clock::now();
  const auto Team = Request->Team;
  auto &Target = Stats[Team];
  const bool Ok = Result.Verdict == verdict::Ok;
  --Teams[Team].InFlight;
  if (Request->IsResend) {
    Target.countResend(Result);
    return;
  }
  Target.count(Result);
  const auto Kind = Request->Plan.Kind;
  if (Ok) {
    Target.Latency[std::string(nameOf(Kind))].add(Now - Request->Intended);
    if (Kind == request_kind::Chat) {
      Target.Tokens += Request->Check->tokens();
      addCost(Team, Request->Plan.PromptTokens + Request->Check->tokens(), Now);
    } else if (Kind != request_kind::ChatStream) {
      addCost(Team, 1, Now);
    }
  }
  if (Ok && Kind == request_kind::Post) {
    auto &Known = Teams[Team].KnownRefs;
    if (Known.size() < MostKnownRefs) {
      Known.push_back(Request->Plan.Ref);
    } else {
      Known[Teams[Team].Planner.random()() % Known.size()] = Request->Plan.Ref;
    }
  }
  if (Request->ResendAfterAnswer) {
    resend(*Request);
  }
  if (Request->Closed) {
    const auto Backoff =
        std::chrono::milliseconds(Options.Teams[Team].ErrorBackoffMs);
    const auto Next = Ok ? Now : Now + Backoff;
    Loop.callAt(Next, [this, Team, Next] { launch(Team, Next, true); });
  }
}

void load_worker::addCost(std::size_t Team, std::int64_t Units, instant Now) {
  Stats[Team].Cost += Units;
  Series.addCost(Team, Now, Units);
}

void load_worker::sampleInFlight() {
  const auto Now = monotonic_clock::now();
  for (std::size_t Team = 0; Team < Teams.size(); ++Team) {
    Series.setInFlight(Team, Now, Teams[Team].InFlight);
  }
  if (Now < End) {
    Loop.callAt(Now + load_series::Bucket, [this] { sampleInFlight(); });
  }
}

bool load_worker::active(std::size_t Team, instant Now) const {
  const auto Until = Options.Teams[Team].EndSeconds;
  return Now < End &&
         (Until <= 0 || Now < Start + duration(std::int64_t(Until * 1e6)));
}

std::string load_worker::knownRef(std::size_t Team) {
  auto &State = Teams[Team];
  return State.KnownRefs.empty() ? std::string()
                                 : State.KnownRefs[State.Planner.random()() %
                                                   State.KnownRefs.size()];
}

} // namespace arbutus::tools
