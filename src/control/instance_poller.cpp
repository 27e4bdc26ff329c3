#include "control/instance_poller.h"

#include "base/log.h"

#include <memory>

namespace arbutus::control {

namespace {

constexpr duration CallTimeout = 1s;
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
                                 instances_function OnInstances)
    : Client(Io), Timer(Io), Settings(Settings), Adapter(Adapter),
      IsLeader(std::move(IsLeader)), OnInstances(std::move(OnInstances)) {}

void instance_poller::armTimer() {
  Timer.expires_after(Settings.PollInterval);
  Timer.async_wait([this](const asio::error_code &Error) {
    if (Error) {
      return;
    }
    if (!IsLeader()) {
      armTimer();
      return;
    }
    Instances.clear();
    MalformedEntries = 0;
    readPage(std::nullopt);
  });
}

void instance_poller::readPage(const std::optional<std::string> &PageToken) {
  const auto Status = std::make_shared<int>(0);
  const auto Body = std::make_shared<std::string>();
  net::http_call Call;
  Call.Method = "GET";
  Call.Url = "http://" + Settings.Server.toString() +
             Adapter.InstancesTarget(PageToken);
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
      finishPoll(nameOf(Outcome));
    }
  };
  Client.start(std::move(Call));
}

void instance_poller::onPage(int Status, const std::string &Body) {
  if (Status != 200) {
    finishPoll("status " + std::to_string(Status));
    return;
  }
  const auto Page = Adapter.ParseInstancePage(Body);
  if (!Page) {
    finishPoll("unreadable page");
    return;
  }
  Instances.insert(Instances.end(), Page->Instances.begin(),
                   Page->Instances.end());
  MalformedEntries += Page->MalformedEntries;
  if (Page->NextPageToken && Instances.size() < MaxInstances) {
    readPage(Page->NextPageToken);
    return;
  }
  finishPoll({});
}

void instance_poller::finishPoll(std::string_view Failure) {
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
    OnInstances(std::move(Instances));
    Instances = {};
  }
  armTimer();
}

} // namespace arbutus::control
