#include "control/instance_poller.h"

#include "base/log.h"

#include <memory>
#include <utility>

namespace arbutus::control {

namespace {

constexpr duration CallTimeout = 1s;
/// How often a node checks whether it has become the leader.
constexpr auto LeaderCheckInterval = std::chrono::milliseconds(50);
/// A page that fails is read again: one lost page must not cost the whole poll.
constexpr int MaxPageAttempts = 3;
constexpr auto PageRetryDelay = std::chrono::milliseconds(100);
/// Time after which a poll that is still in progress shows a slow server.
constexpr auto SlowPollTime = std::chrono::milliseconds(1000);
/// A timer that is later than this shows that the own event loop is late, which
/// says nothing about the server.
constexpr auto MaxTimerDelay = std::chrono::milliseconds(100);
/// No further page is read after this many instances, because a faulty server
/// could return pages without end.
constexpr std::size_t MaxInstances = 50'000;
/// Larger than any page; bounds the memory that a faulty server can use.
constexpr std::size_t MaxPageBytes = std::size_t{4} << 20U;

} // namespace

instance_poller::instance_poller(asio::io_context &Io,
                                 const settings::discovery_settings &Settings,
                                 const traffic::platform_adapter &Adapter,
                                 is_leader_function IsLeader,
                                 instances_function OnInstances,
                                 unavailable_function OnUnavailable)
    : Client(Io), Timer(Io), SlowTimer(Io), Settings(Settings),
      Adapter(Adapter), IsLeader(std::move(IsLeader)),
      OnInstances(std::move(OnInstances)),
      OnUnavailable(std::move(OnUnavailable)) {}

void instance_poller::armTimer() {
  Timer.expires_after(IsLeader() ? Settings.PollInterval : LeaderCheckInterval);
  Timer.async_wait([this](const asio::error_code &Error) {
    if (Error) {
      return;
    }
    if (IsLeader()) {
      startPoll();
    } else {
      armTimer();
    }
  });
}

void instance_poller::armSlowTimer() {
  SlowTimer.expires_after(SlowPollTime);
  SlowTimer.async_wait([this](const asio::error_code &Error) {
    const bool PollEnded = List.ReadAt == instant{};
    if (Error || PollEnded) {
      return;
    }
    const auto Delay =
        asio::steady_timer::clock_type::now() - SlowTimer.expiry();
    if (Delay <= MaxTimerDelay) {
      OnUnavailable();
    }
    armSlowTimer();
  });
}

void instance_poller::startPoll() {
  List = {};
  List.ReadAt = monotonic_clock::now();
  MalformedEntries = 0;
  armSlowTimer();
  PageAttempts = 0;
  readPage(std::nullopt);
}

void instance_poller::readPage(const std::optional<std::string> &Token) {
  PageToken = Token;
  ++PageAttempts;
  const auto Status = std::make_shared<int>(0);
  const auto Body = std::make_shared<std::string>();
  net::http_call Call;
  Call.Method = "GET";
  Call.Url =
      "http://" + Settings.Server.toString() + Adapter.InstancesTarget(Token);
  Call.Timeout = CallTimeout;
  Call.MaxBodyBytes = MaxPageBytes;
  Call.OnHeaders = [Status](int Code, const net::http_headers &) {
    *Status = Code;
  };
  Call.OnBody = [Body](std::string_view Bytes) { *Body += Bytes; };
  Call.OnDone = [this, Status, Body](net::call_outcome Outcome) {
    if (Outcome == net::call_outcome::Complete) {
      onPage(*Status, *Body);
    } else {
      onPageFailed(nameOf(Outcome));
    }
  };
  Client.start(std::move(Call));
}

void instance_poller::onPage(int Status, const std::string &Body) {
  if (Status != 200) {
    onPageFailed("status " + std::to_string(Status));
    return;
  }
  const auto Page = Adapter.ParseInstancePage(Body);
  if (!Page) {
    onPageFailed("unreadable page");
    return;
  }
  List.Instances.insert(List.Instances.end(), Page->Instances.begin(),
                        Page->Instances.end());
  MalformedEntries += Page->MalformedEntries;
  if (Page->NextPageToken && List.Instances.size() < MaxInstances) {
    PageAttempts = 0;
    readPage(Page->NextPageToken);
    return;
  }
  finishPoll({});
}

void instance_poller::onPageFailed(std::string_view Failure) {
  if (PageAttempts >= MaxPageAttempts || !IsLeader()) {
    finishPoll(Failure);
    return;
  }
  Timer.expires_after(PageRetryDelay);
  Timer.async_wait([this](const asio::error_code &Error) {
    if (!Error) {
      readPage(std::exchange(PageToken, std::nullopt));
    }
  });
}

void instance_poller::finishPoll(std::string_view Failure) {
  SlowTimer.cancel();
  if (LastPollFailed != !Failure.empty()) {
    LastPollFailed = !Failure.empty();
    logEvent(LastPollFailed ? log_level::Warning : log_level::Info,
             LastPollFailed ? "discovery_lost" : "discovery_regained",
             {{"server", Settings.Server.toString()}, {"reason", Failure}});
  }
  if (Failure.empty()) {
    if (MalformedEntries != 0) {
      logEvent(log_level::Warning, "instances_unreadable",
               {{"entries", MalformedEntries}});
    }
    OnInstances(std::exchange(List, {}));
  } else {
    List = {};
    OnUnavailable();
  }
  armTimer();
}

} // namespace arbutus::control
