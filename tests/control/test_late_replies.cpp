#include "base/codec.h"
#include "control/leader_channel.h"
#include "router/claim_client.h"
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::control;

namespace {

/// What a process of a node uses to send requests to the leader. It sends one
/// request; the test answers it or does not.
struct requester {
  virtual ~requester() = default;
  virtual void send() = 0;
  /// Delivers a reply that names this number.
  virtual void receive(std::uint64_t Number) = 0;

  asio::io_context Io;
  std::vector<std::uint64_t> SentNumbers;
  bool Acknowledged = false;

  void poll() {
    Io.restart();
    Io.poll();
  }
};

struct operator_requester final : requester {
  leader_channel Channel{Io, [this](const api_request_message &Request,
                                    const request_times & /*Times*/) {
                           SentNumbers.push_back(Request.Number);
                         }};

  void send() override {
    api_request_message Request;
    Request.Method = "PUT";
    Request.Target = "/api/v1/configuration";
    const instant Now = monotonic_clock::now();
    Channel.call(std::move(Request), {Now, Now + 1h},
                 [this](const std::optional<api_reply_message> &Reply) {
                   Acknowledged = Reply.has_value();
                 });
  }
  void receive(std::uint64_t Number) override {
    Channel.onReply({Number, 200, "{}"});
  }
};

struct claim_requester final : requester {
  router::shard Shard{0};
  router::claim_client Client{
      Io, [this](std::uint64_t Number, const std::string & /*Command*/) {
        SentNumbers.push_back(Number);
      }};

  void send() override {
    store::claim_command Claim;
    Claim.Key = {team_id{1}, "shop", "key"};
    Client.claim(std::move(Claim), monotonic_clock::now() + 1h, Shard,
                 [this](const std::optional<store::command_outcome> &Outcome) {
                   Acknowledged = Outcome.has_value();
                 });
    poll();
  }
  void receive(std::uint64_t Number) override {
    Client.onReply(Number, store::command_outcome{});
    Shard.Io.restart();
    Shard.Io.poll();
  }
};

} // namespace

// Guards against a restarted process that takes a late answer to its earlier
// process for its own: it acknowledged a configuration that was stored nowhere.
TEST_CASE("a reply to an earlier process of the node acknowledges nothing") {
  struct row {
    const char *What;
    std::function<std::unique_ptr<requester>()> Start;
  };
  const row Rows[] = {
      {"operator's request",
       [] { return std::make_unique<operator_requester>(); }},
      {"claim", [] { return std::make_unique<claim_requester>(); }},
  };
  constexpr int Requests = 8;
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    std::vector<std::uint64_t> EarlierNumbers;
    {
      const auto Earlier = Row.Start();
      for (int I = 0; I < Requests; ++I) {
        Earlier->send();
      }
      EarlierNumbers = Earlier->SentNumbers;
    }
    REQUIRE(EarlierNumbers.size() == Requests);
    const auto Restarted = Row.Start();
    Restarted->send();
    REQUIRE(Restarted->SentNumbers.size() == 1);
    for (const auto Number : EarlierNumbers) {
      Restarted->receive(Number);
    }
    CHECK_FALSE(Restarted->Acknowledged);
    Restarted->receive(Restarted->SentNumbers.front());
    CHECK(Restarted->Acknowledged);
  }
}
