// Stand-ins and process control for the review cases: HTTP/1.1 messages over
// blocking sockets, workers, the platform's list of workers, callers, the
// operator, and the processes of a small deployment on loopback.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using headers = std::vector<std::pair<std::string, std::string>>;

/// Milliseconds since the start of this program, by the steady clock.
std::int64_t nowMs();
void sleepMs(std::int64_t Ms);

/// Lines of `record.txt`, each with the time in milliseconds. Thread-safe.
class record {
public:
  explicit record(const std::string &File);
  void add(const std::string &Line);

private:
  std::mutex Mutex;
  std::ofstream Out;
};

struct message {
  std::string Start; ///< request line or status line
  headers Headers;
  std::string Body;
  /// The body has ended as its framing says.
  bool Complete = false;

  std::string header(const std::string &Name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
};

/// Answer of a call. `Status` is 0 if no answer head came.
struct reply {
  int Status = 0;
  message Answer;
  /// The connection could not be made.
  bool Unreachable = false;
};

/// Sends one request on a new connection and reads the answer.
reply call(const std::string &Address, const std::string &Method,
           const std::string &Target, const headers &Headers,
           const std::string &Body, std::int64_t TimeoutMs);

/// An HTTP server with a thread for each connection.
class server {
public:
  using handler = std::function<message(const message &)>;
  server(const std::string &Ip, int Port, handler Handler);
  ~server();
  server(const server &) = delete;
  server &operator=(const server &) = delete;

private:
  void serve(int Descriptor);

  handler Handler;
  int Listener = -1;
  std::atomic<bool> Stopping = false;
  std::thread Acceptor;
};

message makeAnswer(int Status, headers Headers, std::string Body);

/// One entry of the platform's list of workers.
struct worker_entry {
  std::string Id;
  std::string Service;
  std::string Address;
  std::string Zone;
  int Slots = 6;
};

/// A worker that answers at once or after its work, as `PROTOCOL.md` says. It
/// rejects requests that expect another worker with 421.
class worker {
public:
  /// Runs a request; called for requests that the worker accepts.
  using run_function =
      std::function<message(const worker_entry &, const message &)>;
  worker(worker_entry Entry, run_function Run);

  const worker_entry &entry() const { return Entry; }

private:
  worker_entry Entry;
  run_function Run;
  std::unique_ptr<server> Server;
};

/// The platform's server with the list of workers.
class platform {
public:
  platform(const std::string &Ip, int Port, std::vector<worker_entry> Entries);

private:
  std::string Page;
  std::unique_ptr<server> Server;
};

/// A machine of the deployment: one process with the command of the deploy
/// file. Core machines have a data directory and are the seeds.
struct machine {
  std::string Name;
  std::string Ip;
  std::string Zone;
  bool Core = false;
  pid_t Pid = 0;
};

/// A deployment: `Core` machines with a disk and `Front` machines without, in
/// three zones in turn.
class fleet {
public:
  fleet(int Core, int Front);
  fleet(const fleet &) = delete;
  fleet &operator=(const fleet &) = delete;

  std::vector<machine> Machines;

  std::string front(std::size_t Index) const;
  std::string ready(std::size_t Index) const;
  std::string control(std::size_t Index) const;
  /// Loopback address that no machine has.
  std::string freeIp(int Number) const;
  int workerPort() const { return Base + 20; }
  int platformPort() const { return Base + 21; }
  std::string platformAddress() const;

  /// Starts the process of a machine, with an empty disk at the first time.
  void start(std::size_t Index);
  void startAll();
  void signal(std::size_t Index, int Number);
  /// Ends the process with SIGKILL.
  void kill(std::size_t Index);
  bool running(std::size_t Index);
  /// Waits until all machines say that they are ready.
  bool waitReady(std::int64_t TimeoutMs);
  /// Index of the core machine that is the leader, from the logs.
  std::optional<std::size_t> leader();
  std::string logText(std::size_t Index) const;
  /// Ends all processes, removes their files and ends this program, without
  /// waiting for the threads of the stand-ins.
  [[noreturn]] void end(int Code);

private:
  std::string settings(std::size_t Index) const;

  int Base = 0;
  int Subnet = 0;
  std::string Directory;
  std::vector<bool> Started;
};

/// Sends an order to the machines in turn, beginning with `First`, until one
/// acknowledges it or refuses it for good; an order has a second for each.
/// Returns the last status.
int sendOrder(record &Record, const std::vector<std::string> &Controls,
              const std::string &Method, const std::string &Target,
              const std::string &Body, std::int64_t TimeoutMs);

/// True unless the environment has TROUBLE=0.
bool troubleWanted();

/// Ends the program with status 2 after this time, with all processes that it
/// started. Also on SIGTERM and SIGINT.
void limitRunTime(std::int64_t Ms);

/// Exit codes of a case.
inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CouldNotRun = 2;

} // namespace review
