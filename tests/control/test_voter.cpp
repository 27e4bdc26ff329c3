#include "base/codec.h"
#include "control/messages.h"
#include "control/voter.h"
#include "settings/settings.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <filesystem>
#include <map>
#include <mutex>
#include <thread>

using namespace arbutus;
using namespace arbutus::control;

namespace {

constexpr std::uint32_t Voters = 3;
/// A node that only sends heartbeats and operators' calls.
constexpr node_id Client{9};

/// File calls of a voter whose disk takes no more bytes while `Full` is set.
storage::file_operations limitedFiles(const std::atomic<bool> &Full) {
  auto Files = storage::posixFileOperations();
  Files.Write = [&Full, Write = Files.Write](int File, const char *Bytes,
                                             std::size_t Size) -> ssize_t {
    if (Full) {
      errno = ENOSPC;
      return -1;
    }
    return Write(File, Bytes, Size);
  };
  return Files;
}

/// Three voters in one process, joined by function calls.
class voter_group {
public:
  voter_group() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "voters-XXXXXX").string();
    Folder = ::mkdtemp(Pattern.data());
    for (std::uint32_t Id = 1; Id <= Voters; ++Id) {
      settings::settings Settings;
      Settings.Node.Id = node_id{Id};
      Settings.Node.IsControl = true;
      Settings.Node.DataDirectory = Folder / std::to_string(Id);
      for (std::uint32_t Other = 1; Other <= Voters; ++Other) {
        Settings.Fleet.InitialVoters.push_back({node_id{Other}, {}});
      }
      REQUIRE(initializeVoterDirectory(Settings).has_value());
      auto Started = voter::start(
          Settings,
          [this, Id](node_id To, net::message_kind Kind,
                     const std::string &Payload) {
            deliver(node_id{Id}, To, Kind, Payload);
          },
          limitedFiles(Full[Id - 1]));
      REQUIRE(Started.has_value());
      const std::lock_guard Lock(Mutex);
      Group[node_id{Id}] = std::move(Started.value());
    }
  }

  ~voter_group() {
    // The threads end outside the lock, because they may wait for it.
    std::map<node_id, std::unique_ptr<voter>> Ending;
    {
      const std::lock_guard Lock(Mutex);
      Ending.swap(Group);
    }
    Ending.clear();
    std::filesystem::remove_all(Folder);
  }

  voter_group(const voter_group &) = delete;
  voter_group &operator=(const voter_group &) = delete;

  /// Sends a frame of the client to every voter.
  void send(net::message_kind Kind, const std::string &Payload) {
    for (std::uint32_t Id = 1; Id <= Voters; ++Id) {
      deliver(Client, node_id{Id}, Kind, Payload);
    }
  }

  [[nodiscard]] voter_status statusOf(std::uint32_t Id) {
    const std::lock_guard Lock(Mutex);
    return Group.at(node_id{Id})->status();
  }

  /// Voters whose disk is full, in the order of their numbers.
  std::array<std::atomic<bool>, Voters> Full{};
  std::atomic<int> Replies{0};
  std::atomic<int> Leases{0};
  /// Lists of nodes that no heartbeat has asked for.
  std::atomic<int> UnaskedLists{0};
  std::atomic<std::uint64_t> NodesTerm{0};
  std::atomic<std::uint64_t> NodesVersion{0};

private:
  void deliver(node_id From, node_id To, net::message_kind Kind,
               const std::string &Payload) {
    if (To == Client) {
      receive(Kind, Payload);
      return;
    }
    const std::lock_guard Lock(Mutex);
    if (const auto It = Group.find(To); It != Group.end()) {
      It->second->post({From, incarnation{1}, Kind, Payload});
    }
  }

  void receive(net::message_kind Kind, const std::string &Payload) {
    if (Kind == net::message_kind::ApiReply) {
      ++Replies;
    } else if (Kind == net::message_kind::HeartbeatReply) {
      const auto Reply = decode<heartbeat_reply_message>(Payload).value();
      if (Reply.HasNodes) {
        NodesTerm = Reply.Term;
        NodesVersion = Reply.NodesVersion;
        UnaskedLists += Reply.SendTime == 0 ? 1 : 0;
      }
      Leases += Reply.LeaseMicros > 0 ? 1 : 0;
    }
  }

  std::filesystem::path Folder;
  std::mutex Mutex;
  std::map<node_id, std::unique_ptr<voter>> Group;
};

std::string heartbeatFrame(const voter_group &Group) {
  heartbeat_message Message;
  Message.Self.Node = number(Client);
  Message.Self.IsRouter = true;
  Message.SendTime = 1;
  Message.NodesTerm = Group.NodesTerm;
  Message.NodesVersion = Group.NodesVersion;
  return encode(Message);
}

std::string createCall(int Number) {
  api_request_message Call;
  Call.Number = static_cast<std::uint64_t>(Number) + 1;
  Call.Method = "PUT";
  Call.Target = "/api/v1/failure_domain/d" + std::to_string(Number);
  Call.Body = R"({"version":0,"spec":{"region":"r","state":"in"}})";
  Call.RequestId = "request-" + std::to_string(Number);
  return encode(Call);
}

/// Repeats a call until a condition holds; false after a deadline that only a
/// broken build reaches.
template <class F, class C> bool repeatUntil(F Call, C Condition) {
  const auto Deadline = monotonic_clock::now() + 30s;
  while (monotonic_clock::now() < Deadline) {
    Call();
    for (int I = 0; I < 100; ++I) {
      if (Condition()) {
        return true;
      }
      std::this_thread::sleep_for(2ms);
    }
  }
  return false;
}

} // namespace

// A leader that had learned of a commit, but not yet applied it, used to take
// itself for deposed: it forgot the position of every node, so that a change
// waited for the next heartbeats, and never suspected a silent node while
// writes went on. Each fresh start of the duties sends the list of nodes.
TEST_CASE("a commit does not restart the leader's duties") {
  voter_group Group;
  REQUIRE(repeatUntil(
      [&] { Group.send(net::message_kind::Heartbeat, heartbeatFrame(Group)); },
      [&] { return Group.Leases > 0; }));
  const int Before = Group.UnaskedLists;
  constexpr int Changes = 40;
  for (int I = 0; I < Changes; ++I) {
    const int Replies = Group.Replies;
    REQUIRE(repeatUntil(
        [&] {
          Group.send(net::message_kind::Heartbeat, heartbeatFrame(Group));
          Group.send(net::message_kind::ApiRequest, createCall(I));
        },
        [&] { return Group.Replies > Replies; }));
  }
  // A machine that stalls may cost the leader its lease a few times.
  CHECK(Group.UnaskedLists - Before < Changes / 4);
}

// A voter whose disk had been full once used to stand aside until its process
// was restarted, so that two disks that filled up one after the other left no
// majority although both had room again.
TEST_CASE("a voter uses its disk again once it takes writes") {
  voter_group Group;
  int Change = 0;
  const auto MakeChange = [&] {
    const int Replies = Group.Replies;
    const int Number = ++Change;
    return repeatUntil(
        [&] {
          Group.send(net::message_kind::Heartbeat, heartbeatFrame(Group));
          Group.send(net::message_kind::ApiRequest, createCall(Number));
        },
        [&] { return Group.Replies > Replies; });
  };
  REQUIRE(MakeChange());
  for (std::uint32_t Id = 1; Id <= Voters; ++Id) {
    CAPTURE(Id);
    Group.Full[Id - 1] = true;
    REQUIRE(repeatUntil([&] { CHECK(MakeChange()); },
                        [&] { return Group.statusOf(Id).StorageFailed; }));
    REQUIRE(MakeChange());
    Group.Full[Id - 1] = false;
    REQUIRE(
        repeatUntil([] {}, [&] { return !Group.statusOf(Id).StorageFailed; }));
  }
  REQUIRE(MakeChange());
  for (std::uint32_t Id = 1; Id <= Voters; ++Id) {
    CAPTURE(Id);
    REQUIRE(repeatUntil([] {},
                        [&] {
                          return Group.statusOf(Id).Applied ==
                                 Group.statusOf(1).Applied;
                        }));
  }
}
