#include "control/instance_poller.h"

#include "base/log.h"

#include <memory>

namespace arbutus::control {

namespace {

constexpr duration CallTimeout = 1s;
/// A list of more pages than this is taken for one that never ends.
constexpr std::size_t MostInstances = 50'000;

} // namespace

instance_poller::instance_poller(asio::io_context &Io,
                                 const settings::discovery_settings &Settings,
                                 const traffic::platform_adapter &Adapter,
                                 leading_function Leading,
                                 found_function OnFound)
    : Client(Io), Timer(Io), Settings(Settings), Adapter(Adapter),
      Leading(std::move(Leading)), OnFound(std::move(OnFound)) {}

void instance_poller::armTimer() {
  Timer.expires_after(Settings.PollInterval);
  Timer.async_wait([this](const asio::error_code &Error) {
    if (Error) {
      return;
    }
    if (!Leading()) {
      armTimer();
      return;
    }
    Found.clear();
    Unreadable = 0;
    readPage(std::nullopt);
  });
}

void instance_poller::readPage(const std::optional<std::string> &Token) {
  const auto Status = std::make_shared<int>(0);
  const auto Body = std::make_shared<std::string>();
  net::http_call Call;
  Call.Method = "GET";
  Call.Url =
      "http://" + Settings.Server.toString() + Adapter.InstancesTarget(Token);
  Call.Timeout = CallTimeout;
  Call.OnHeaders = [Status](int Code, const net::http_headers &) {
    *Status = Code;
  };
  Call.OnBody = [Body](std::string_view Bytes) { *Body += Bytes; };
  Call.OnDone = [this, Status, Body](net::call_outcome Outcome) {
    if (Outcome == net::call_outcome::Complete) {
      onPage(*Status, *Body);
    } else {
      endRound(nameOf(Outcome));
    }
  };
  Client.start(std::move(Call));
}

void instance_poller::onPage(int Status, const std::string &Body) {
  if (Status != 200) {
    endRound("status " + std::to_string(Status));
    return;
  }
  const auto Page = Adapter.ParseInstancePage(Body);
  if (!Page) {
    endRound("unreadable page");
    return;
  }
  Found.insert(Found.end(), Page->Instances.begin(), Page->Instances.end());
  Unreadable += Page->MalformedEntries;
  if (Page->NextPageToken && Found.size() < MostInstances) {
    readPage(Page->NextPageToken);
    return;
  }
  endRound({});
}

void instance_poller::endRound(std::string_view Failure) {
  if (Failing != !Failure.empty()) {
    Failing = !Failure.empty();
    logEvent(Failing ? log_level::Warning : log_level::Info,
             Failing ? "discovery_lost" : "discovery_regained",
             {{"server", Settings.Server.toString()}, {"reason", Failure}});
  }
  if (Failure.empty()) {
    if (Unreadable != 0) {
      logEvent(log_level::Warning, "instances_unreadable",
               {{"entries", Unreadable}});
    }
    OnFound(std::move(Found));
    Found = {};
  }
  armTimer();
}

} // namespace arbutus::control
