#include "traffic/hedging.h"

#include "base/log.h"
#include "net/http_exchange.h"
#include "traffic/traffic_request.h"
#include "traffic/traffic_shard.h"
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace arbutus::traffic {

namespace {

using balance::hedge_verdict;

constexpr int MinServerErrorStatus = 500;
/// Status that promises that the request has not run, and one that does not.
constexpr int NotRunStatus = 503;
constexpr int UnknownOutcomeStatus = 502;
/// Interval between two looks at a request whose first attempt is not slow yet.
constexpr duration MinCheckInterval = 2ms;
/// A second attempt takes a free slot or none: it does not queue.
constexpr duration HedgeDispatchTime = 10ms;
/// Time after which a second attempt that was not possible is looked at again.
constexpr duration RecheckInterval = 20ms;

/// The answers of two attempts. The first good one goes to the caller, and the
/// other attempt is cancelled; a failure waits for the other attempt.
class race : public std::enable_shared_from_this<race> {
public:
  explicit race(std::shared_ptr<net::http_exchange> Caller)
      : Caller(std::move(Caller)) {}

  enum arm : std::size_t { First = 0, Second = 1 };

  void start() {
    Caller->onDisconnect([Self = shared_from_this()] {
      Self->Done = true;
      Self->cancel(First);
      Self->cancel(Second);
    });
  }

  void startSecond() { Running[Second] = true; }

  void respond(arm Arm, net::http_response Response) {
    if (Done) {
      return;
    }
    Running[Arm] = false;
    const arm Other = Arm == First ? Second : First;
    const bool Failed = Response.Status >= MinServerErrorStatus;
    MayHaveRun = MayHaveRun || Response.Status != NotRunStatus;
    if (Failed && Running[Other]) {
      return;
    }
    Done = true;
    if (Response.Status == NotRunStatus && MayHaveRun) {
      // The other attempt has failed and may have run.
      Response.Status = UnknownOutcomeStatus;
      std::erase_if(Response.Headers, [](const auto &Header) {
        return net::sameHeaderName(Header.first, "Retry-After");
      });
    }
    Caller->respond(std::move(Response));
    cancel(Other);
  }

  void setCancel(arm Arm, std::function<void()> Callback) {
    Cancels[Arm] = std::move(Callback);
  }

  std::shared_ptr<net::http_exchange> Caller;
  bool Done = false;

private:
  void cancel(arm Arm) {
    if (const auto Callback = std::exchange(Cancels[Arm], nullptr)) {
      Callback();
    }
  }

  std::array<bool, 2> Running = {true, false};
  std::array<std::function<void()>, 2> Cancels;
  /// An attempt ended without the promise that it has not run.
  bool MayHaveRun = false;
};

/// The exchange of one attempt in a race. Only for whole answers.
class race_exchange final : public net::http_exchange {
public:
  race_exchange(std::shared_ptr<race> Race, race::arm Arm)
      : Race(std::move(Race)), Arm(Arm) {}

  const net::http_request &request() const noexcept override {
    return Race->Caller->request();
  }
  std::string takeBody() override { return Race->Caller->takeBody(); }
  void respond(net::http_response Response) override {
    if (!std::exchange(Answered, true)) {
      Race->respond(Arm, std::move(Response));
    }
  }
  void beginStream(int Status, const net::http_headers &Headers) override {
    Race->Caller->beginStream(Status, Headers);
  }
  void writeChunk(std::string Chunk) override {
    Race->Caller->writeChunk(std::move(Chunk));
  }
  std::size_t unsentBytes() const noexcept override {
    return Race->Caller->unsentBytes();
  }
  void endStream() override { Race->Caller->endStream(); }
  void abort() override { Race->Caller->abort(); }
  bool answered() const noexcept override { return Answered; }
  void onDisconnect(std::function<void()> Callback) override {
    Race->setCancel(Arm, std::move(Callback));
  }

private:
  std::shared_ptr<race> Race;
  race::arm Arm;
  bool Answered = false;
};

/// Decides again and again while the first attempt of a request runs.
struct hedge_watch : std::enable_shared_from_this<hedge_watch> {
  hedge_watch(const std::shared_ptr<traffic_request> &Request,
              std::shared_ptr<race> Race, start_function Start)
      : Request(Request), Race(std::move(Race)), Start(std::move(Start)),
        Timer(Request->Shard.Shard.Io) {}

  void check() {
    const auto First = Request.lock();
    if (!First || Race->Done || First->Attempts > 1 ||
        First->Phase == router::request_phase::Finished) {
      return;
    }
    const instant Now = monotonic_clock::now();
    const bool IsCalling = First->Phase == router::request_phase::Calling;
    const auto Input = makeInput(*First, IsCalling, Now);
    const auto Verdict =
        IsCalling ? balance::decideHedge(Input) : hedge_verdict::Early;
    if (Verdict == hedge_verdict::Send) {
      sendSecond(*First, Now);
    } else if (Verdict == hedge_verdict::Early) {
      const duration Wait = IsCalling
                                ? balance::slowAfter(Input) - Input.Elapsed
                                : duration::zero();
      arm(std::max(MinCheckInterval, Wait));
    } else {
      if (!std::exchange(Counted, true)) {
        First->Shard.Context.Metrics.countHedge(Verdict);
      }
      if (balance::mayChange(Verdict)) {
        arm(RecheckInterval);
      }
    }
  }

private:
  static balance::hedge_input makeInput(traffic_request &First, bool IsCalling,
                                        instant Now) {
    auto &Shard = First.Shard;
    const auto &Service = Shard.Hedging[First.Service];
    balance::hedge_input Input;
    Input.Elapsed = IsCalling ? Now - First.Attempt.SentAt : duration::zero();
    Input.TimeLeft = First.Deadline - Now;
    Input.Slow = Service.Times.quantile(balance::HedgeQuantile);
    Input.Usual = Service.Times.quantile(balance::UsualQuantile);
    Input.BusyShare = Shard.Slots.busyShare(First.Pool);
    Input.HasAttemptsLeft = First.Attempts < First.Route->MaxAttempts;
    Input.HasCredit = Service.Budget.hasCredit();
    return Input;
  }

  void sendSecond(traffic_request &First, instant Now) {
    auto &Shard = First.Shard;
    if (!Shard.Retries.tryWithdraw(First.Service)) {
      Shard.Context.Metrics.countHedge(hedge_verdict::Credit);
      return;
    }
    auto &Service = Shard.Hedging[First.Service];
    Service.Budget.withdraw();
    Service.Slow.add(First.Attempt.Upstream, Now);
    Shard.Context.Metrics.countHedge(hedge_verdict::Send);
    auto Second = std::make_shared<traffic_request>(
        Shard, std::make_shared<race_exchange>(Race, race::Second));
    Second->Caller = First.Caller;
    Second->View = First.View;
    Second->Route = First.Route;
    Second->Team = First.Team;
    Second->Service = First.Service;
    Second->Id = Shard.Context.LastRequestId.fetch_add(1) + 1;
    Second->Method = First.Method;
    Second->Target = First.Target;
    Second->Body = First.Body;
    Second->Arrived = First.Arrived;
    Second->Deadline = First.Deadline;
    Second->DispatchDeadline = Now + HedgeDispatchTime;
    Second->Cost = First.Cost;
    Second->Excluded = First.Excluded;
    Service.Slow.visit(Now, [&](upstream_id Upstream) {
      Second->Excluded.push_back(Upstream);
    });
    // Both together keep to the attempts of the route, and neither repeats.
    Second->Attempts = First.Route->MaxAttempts - 1;
    First.Attempts = First.Route->MaxAttempts;
    Race->startSecond();
    logEvent(log_level::Info, "second_attempt",
             {{"request", First.Caller.Id},
              {"service", First.Service},
              {"upstream", First.Attempt.Instance},
              {"elapsed_us", toMicros(Now - First.Attempt.SentAt)}});
    Start(Second);
  }

  void arm(duration Wait) {
    Timer.expires_after(Wait);
    Timer.async_wait(
        [Self = shared_from_this()](const asio::error_code &Error) {
          if (!Error) {
            Self->check();
          }
        });
  }

  std::weak_ptr<traffic_request> Request;
  std::shared_ptr<race> Race;
  start_function Start;
  asio::steady_timer Timer;
  /// The reason why there is no second attempt yet was counted.
  bool Counted = false;
};

} // namespace

bool mayHedge(const traffic_request &Request) {
  return Request.Shard.HedgeShare > 0 &&
         Request.Route->Kind == store::request_kind::Idempotent &&
         Request.Route->MaxAttempts > 1;
}

void prepareHedge(const std::shared_ptr<traffic_request> &Request,
                  start_function Start) {
  auto &Shard = Request->Shard;
  Shard.Hedging[Request->Service].Budget.deposit(Shard.HedgeShare);
  auto Race = std::make_shared<race>(Request->Exchange);
  Race->start();
  Request->Exchange = std::make_shared<race_exchange>(Race, race::First);
  std::make_shared<hedge_watch>(Request, std::move(Race), std::move(Start))
      ->check();
}

void recordHedgeTime(const traffic_request &Request, duration Time) {
  if (mayHedge(Request)) {
    Request.Shard.Hedging[Request.Service].Times.add(Time);
  }
}

} // namespace arbutus::traffic
