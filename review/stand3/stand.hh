#ifndef REVIEW_STAND3_STAND_H
#define REVIEW_STAND3_STAND_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins for the clients, the workers and the platform of a small
/// deployment, and the start of the project's own processes.
namespace stand {

using clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCannotRun = 2;

inline clock::time_point &startTime() {
  static clock::time_point Start = clock::now();
  return Start;
}

inline double elapsed() {
  return std::chrono::duration<double>(clock::now() - startTime()).count();
}

inline void sleepFor(std::chrono::milliseconds Time) {
  std::this_thread::sleep_for(Time);
}

/// Writes `record.txt` and the same lines to standard output.
class record {
public:
  void open(const std::string &Path) {
    File = std::fopen(Path.c_str(), "w");
    if (File == nullptr) {
      std::perror(Path.c_str());
      std::exit(ExitCannotRun);
    }
  }
  __attribute__((format(printf, 2, 3))) void line(const char *Format, ...) {
    char Text[1024];
    va_list Arguments;
    va_start(Arguments, Format);
    std::vsnprintf(Text, sizeof Text, Format, Arguments);
    va_end(Arguments);
    const std::lock_guard Lock(Mutex);
    std::printf("%8.3f %s\n", elapsed(), Text);
    std::fflush(stdout);
    if (File != nullptr) {
      std::fprintf(File, "%8.3f %s\n", elapsed(), Text);
      std::fflush(File);
    }
  }

private:
  std::mutex Mutex;
  std::FILE *File = nullptr;
};

inline record &log() {
  static record Record;
  return Record;
}

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// A listening socket, or -1.
inline int listenOn(const std::string &Ip, int Port) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  const auto Address = addressOf(Ip, Port);
  if (::bind(Fd, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0 ||
      ::listen(Fd, 1024) != 0) {
    ::close(Fd);
    return -1;
  }
  return Fd;
}

/// How a client's socket behaves. A small segment and a small buffer give the
/// window of an ordinary link, which loopback has not by itself.
struct dial_options {
  int MaxSegment = 0;
  int ReceiveBuffer = 0;
};

inline int dial(const std::string &Ip, int Port, dial_options Options = {}) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Fd < 0) {
    return -1;
  }
  if (Options.MaxSegment != 0) {
    ::setsockopt(Fd, IPPROTO_TCP, TCP_MAXSEG, &Options.MaxSegment,
                 sizeof Options.MaxSegment);
  }
  if (Options.ReceiveBuffer != 0) {
    ::setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &Options.ReceiveBuffer,
                 sizeof Options.ReceiveBuffer);
  }
  const int One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  const timeval Limit{1, 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
  const auto Address = addressOf(Ip, Port);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0) {
    ::close(Fd);
    return -1;
  }
  return Fd;
}

inline bool sendAll(int Fd, std::string_view Text) {
  while (!Text.empty()) {
    const auto Sent = ::send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL);
    if (Sent <= 0) {
      if (Sent < 0 && errno == EINTR) {
        continue;
      }
      return false;
    }
    Text.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

/// A request or an answer.
struct message {
  std::string Start;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// The body came to its end.
  bool Whole = false;

  std::string get(const char *Name) const {
    for (const auto &[Key, Value] : Headers) {
      if (::strcasecmp(Key.c_str(), Name) == 0) {
        return Value;
      }
    }
    return {};
  }
  int status() const {
    return Start.size() >= 12 ? std::atoi(Start.c_str() + 9) : 0;
  }
  std::string method() const { return Start.substr(0, Start.find(' ')); }
  std::string target() const {
    const auto First = Start.find(' ');
    const auto Last = Start.rfind(' ');
    return First < Last ? Start.substr(First + 1, Last - First - 1)
                        : std::string();
  }
};

/// Reads messages from a socket until a deadline.
class reader {
public:
  explicit reader(int Fd) : Fd(Fd) {}

  bool fill(clock::time_point Until) {
    while (true) {
      const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
          Until - clock::now());
      if (Left.count() <= 0) {
        TimedOut = true;
        return false;
      }
      pollfd Poll{Fd, POLLIN, 0};
      const int Ready = ::poll(&Poll, 1, static_cast<int>(Left.count()) + 1);
      if (Ready < 0 && errno == EINTR) {
        continue;
      }
      if (Ready <= 0) {
        continue;
      }
      char Bytes[16384];
      const auto Read = ::recv(Fd, Bytes, sizeof Bytes, 0);
      if (Read <= 0) {
        Ended = true;
        Reset = Read < 0;
        return false;
      }
      Buffer.append(Bytes, static_cast<std::size_t>(Read));
      return true;
    }
  }

  bool readHead(message &Message, clock::time_point Until) {
    Message = {};
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(Until)) {
        return false;
      }
    }
    std::string_view Head(Buffer.data(), End);
    bool First = true;
    while (!Head.empty()) {
      const auto LineEnd = Head.find("\r\n");
      const auto Line = Head.substr(0, LineEnd);
      Head.remove_prefix(LineEnd == std::string_view::npos ? Head.size()
                                                           : LineEnd + 2);
      if (First) {
        Message.Start = Line;
        First = false;
        continue;
      }
      const auto Colon = Line.find(':');
      if (Colon == std::string_view::npos) {
        continue;
      }
      auto Value = Line.substr(Colon + 1);
      while (!Value.empty() && Value.front() == ' ') {
        Value.remove_prefix(1);
      }
      Message.Headers.emplace_back(Line.substr(0, Colon), Value);
    }
    Buffer.erase(0, End + 4);
    return true;
  }

  /// Reads the body of a request or of an answer with a length or in chunks.
  bool readBody(message &Message, clock::time_point Until) {
    if (Message.get("Transfer-Encoding") == "chunked") {
      return readChunks(Message, Until);
    }
    const auto Length = Message.get("Content-Length");
    const std::size_t Size =
        Length.empty() ? 0 : std::strtoull(Length.c_str(), nullptr, 10);
    while (Buffer.size() < Size) {
      if (!fill(Until)) {
        Message.Body = std::exchange(Buffer, {});
        return false;
      }
    }
    Message.Body = Buffer.substr(0, Size);
    Buffer.erase(0, Size);
    Message.Whole = true;
    return true;
  }

  std::string Buffer;
  bool Ended = false;
  bool Reset = false;
  bool TimedOut = false;

private:
  bool readChunks(message &Message, clock::time_point Until) {
    while (true) {
      std::size_t Line = 0;
      while ((Line = Buffer.find("\r\n")) == std::string::npos) {
        if (!fill(Until)) {
          return false;
        }
      }
      const auto Size = std::strtoull(Buffer.c_str(), nullptr, 16);
      while (Buffer.size() < Line + 2 + Size + 2) {
        if (!fill(Until)) {
          return false;
        }
      }
      Message.Body += Buffer.substr(Line + 2, Size);
      Buffer.erase(0, Line + 2 + Size + 2);
      if (Size == 0) {
        Message.Whole = true;
        return true;
      }
    }
  }

  int Fd;
};

/// What one worker did.
struct run_note {
  double At = 0;
  std::string Worker;
  std::string Id;
  std::string Method;
  std::string Target;
  std::string Tenant;
};

/// All runs of all workers.
class run_log {
public:
  void add(run_note Note) {
    const std::lock_guard Lock(Mutex);
    Notes.push_back(std::move(Note));
  }
  std::vector<run_note> all() {
    const std::lock_guard Lock(Mutex);
    return Notes;
  }
  std::size_t countOf(const std::string &Id) {
    const std::lock_guard Lock(Mutex);
    std::size_t Count = 0;
    for (const auto &Note : Notes) {
      Count += Note.Id == Id ? 1 : 0;
    }
    return Count;
  }

private:
  std::mutex Mutex;
  std::vector<run_note> Notes;
};

inline run_log &runs() {
  static run_log Log;
  return Log;
}

/// A worker that answers as the pages say. `Answer-Bytes` in a request sets the
/// size of its answer, `Work-Ms` the time that it takes.
class worker {
public:
  std::string Id;
  std::string Service;
  std::string Ip;
  std::string Zone;
  int Port = 0;
  int Slots = 64;
  std::string State = "ready";
  /// Takes a request over from the usual answer; returns true if it has.
  std::function<bool(worker &, int Fd, const message &)> Special;

  bool start() {
    Listener = listenOn(Ip, Port);
    if (Listener < 0) {
      return false;
    }
    std::thread([this] {
      while (true) {
        const int Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (Fd < 0) {
          if (errno == EINTR || errno == ECONNABORTED) {
            continue;
          }
          return;
        }
        const int One = 1;
        ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
        {
          const std::lock_guard Lock(Mutex);
          Open.insert(Fd);
        }
        std::thread([this, Fd] { serve(Fd); }).detach();
      }
    }).detach();
    return true;
  }

  /// Ends like a process: closes its port and all connections.
  void end() {
    ::shutdown(Listener, SHUT_RDWR);
    ::close(Listener);
    const std::lock_guard Lock(Mutex);
    for (const int Fd : Open) {
      ::shutdown(Fd, SHUT_RDWR);
    }
  }

  std::string stamp(const std::string &Attempt) const {
    return "s3." + Id + "." + Attempt;
  }

  std::string head(int Status, const message &Request, std::size_t Length,
                   const std::string &More = {}) const {
    const auto Attempt = Request.get("Attempt-Id");
    return "HTTP/1.1 " + std::to_string(Status) +
           " Status\r\nAttempt-Id: " + Attempt +
           "\r\nServer-Stamp: " + stamp(Attempt) + "\r\nInstance-Load: 1,0," +
           std::to_string(Slots) + "\r\nKeep-Alive: timeout=10\r\n" + More +
           "Content-Length: " + std::to_string(Length) + "\r\n\r\n";
  }

private:
  void serve(int Fd) {
    reader Reader(Fd);
    message Request;
    while (Reader.readHead(Request, clock::now() + 10s)) {
      if (!Reader.readBody(Request, clock::now() + 20s)) {
        break;
      }
      if (!answer(Fd, Request)) {
        break;
      }
    }
    const std::lock_guard Lock(Mutex);
    Open.erase(Fd);
    ::close(Fd);
  }

  bool answer(int Fd, const message &Request) {
    if (Request.target() == "/health") {
      return sendAll(Fd, "HTTP/1.1 200 OK\r\nInstance-Id: " + Id +
                             "\r\nInstance-Load: 0,0," + std::to_string(Slots) +
                             "\r\nContent-Length: 0\r\n\r\n");
    }
    const auto Attempt = Request.get("Attempt-Id");
    const auto Expected = Request.get("Expect-Instance");
    if (Attempt.empty()) {
      return sendAll(Fd, "HTTP/1.1 400 Bad\r\nNot-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
    }
    if (!Expected.empty() && Expected != Id) {
      return sendAll(Fd, "HTTP/1.1 421 Other\r\nAttempt-Id: " + Attempt +
                             "\r\nNot-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n");
    }
    runs().add({elapsed(), Id, Attempt, Request.method(), Request.target(),
                Request.get("Tenant")});
    if (Special && Special(*this, Fd, Request)) {
      return true;
    }
    const auto Work = Request.get("Work-Ms");
    sleepFor(std::chrono::milliseconds(Work.empty() ? 5 : std::stoi(Work)));
    const auto Bytes = Request.get("Answer-Bytes");
    const std::size_t Size = Bytes.empty() ? 200 : std::stoul(Bytes);
    return sendAll(Fd, head(200, Request, Size) + std::string(Size, 'a'));
  }

  int Listener = -1;
  std::mutex Mutex;
  std::set<int> Open;
};

/// The platform's list of workers.
class platform_list {
public:
  bool start(const std::string &Ip, int Port) {
    const int Listener = listenOn(Ip, Port);
    if (Listener < 0) {
      return false;
    }
    std::thread([this, Listener] {
      while (true) {
        const int Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (Fd >= 0) {
          std::thread([this, Fd] { serve(Fd); }).detach();
        }
      }
    }).detach();
    return true;
  }
  void set(const std::vector<worker *> &Workers) {
    std::string List;
    for (const auto *Worker : Workers) {
      List +=
          std::string(List.empty() ? "" : ",") + "{\"service\":\"" +
          Worker->Service + "\",\"address\":\"" + Worker->Ip + ":" +
          std::to_string(Worker->Port) + "\",\"zone\":\"" + Worker->Zone +
          "\",\"version\":\"v1\",\"slots\":" + std::to_string(Worker->Slots) +
          ",\"state\":\"" + Worker->State +
          "\",\"cold_remaining_ms\":0,\"stage\":\"unified\",\"models\":[],"
          "\"id\":\"" +
          Worker->Id + "\"}";
    }
    const std::lock_guard Lock(Mutex);
    Entries = List;
  }
  /// Text of an entry by another writer, which stands before the others.
  void setForeignEntry(const std::string &Entry) {
    const std::lock_guard Lock(Mutex);
    ForeignEntry = Entry;
  }

private:
  void serve(int Fd) {
    reader Reader(Fd);
    message Request;
    while (Reader.readHead(Request, clock::now() + 30s)) {
      std::string Body;
      {
        const std::lock_guard Lock(Mutex);
        Body = "{\"instances\":[" + ForeignEntry +
               (ForeignEntry.empty() || Entries.empty() ? "" : ",") + Entries +
               "],\"next\":null}";
      }
      if (!sendAll(Fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                           std::to_string(Body.size()) + "\r\n\r\n" + Body)) {
        break;
      }
    }
    ::close(Fd);
  }

  std::mutex Mutex;
  std::string Entries;
  std::string ForeignEntry;
};

/// One machine of the deployment with its process.
struct machine {
  std::string Name;
  std::string Ip;
  std::string Zone;
  bool HasDisk = false;
  pid_t Pid = 0;
};

/// Ports are the same on all machines.
struct port_plan {
  int Front = 0, Ready = 0, Control = 0, Directory = 0, Metrics = 0, Mesh = 0;
  int Platform = 0, Worker = 0;
};

struct fleet_options {
  int Machines = 5; ///< the first three have a disk
  int MemoryMb = 110;
  int Descriptors = 4100;
  int GraceSeconds = 8;
  /// `timeout_ms` of the routes that are no streams.
  int PlainTimeoutMs = 12000;
};

/// The project's processes on loopback addresses.
class fleet {
public:
  std::vector<machine> Machines;
  port_plan Ports;
  fleet_options Options;
  std::string Root;
  std::string Dir;
  std::string Net;

  ~fleet() { end(); }

  /// Finds free ports and starts all machines.
  bool start(const std::string &ProjectRoot, fleet_options Given) {
    Options = Given;
    Root = ProjectRoot;
    char Template[] = "/tmp/review3-XXXXXX";
    if (::mkdtemp(Template) == nullptr || !findPorts()) {
      return false;
    }
    Dir = Template;
    static const char *Zones[] = {"zone-a", "zone-b", "zone-c"};
    for (int I = 0; I < Options.Machines; ++I) {
      machine Machine;
      Machine.Name = "front-" + std::to_string(I + 1);
      Machine.Ip = ipOf(I + 1);
      Machine.Zone = Zones[I % 3];
      Machine.HasDisk = I < 3;
      Machines.push_back(Machine);
    }
    for (auto &Machine : Machines) {
      startProcess(Machine, true);
    }
    return true;
  }

  std::string ipOf(int Host) const { return Net + std::to_string(Host); }

  void startProcess(machine &Machine, bool Bootstrap) {
    const std::string Base = Dir + "/" + Machine.Name;
    ::mkdir(Base.c_str(), 0755);
    const std::string Config = Base + "/local.conf";
    std::ofstream(Config) << settingsOf(Machine, Base, Bootstrap);
    const std::string Log = Base + "/log.txt";
    const pid_t Pid = ::fork();
    if (Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      // The platform's limit of descriptors, `max_fds`.
      const auto Most = static_cast<rlim_t>(Options.Descriptors);
      const rlimit Limit{Most, Most};
      ::setrlimit(RLIMIT_NOFILE, &Limit);
      const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Out, 1);
      ::dup2(Out, 2);
      if (::chdir(Root.c_str()) != 0) {
        ::_exit(127);
      }
      const std::string Argument = "--config=" + Config;
      ::execl("target/arbutustack", "target/arbutustack", "serve",
              Argument.c_str(), static_cast<char *>(nullptr));
      ::_exit(127);
    }
    Machine.Pid = Pid;
  }

  /// Waits for the process to end. Returns false if it still runs.
  bool waitEnd(machine &Machine, std::chrono::milliseconds Limit) {
    const auto Until = clock::now() + Limit;
    while (Machine.Pid != 0 && clock::now() < Until) {
      int Status = 0;
      if (::waitpid(Machine.Pid, &Status, WNOHANG) == Machine.Pid) {
        log().line("%s process ended, status %d", Machine.Name.c_str(), Status);
        Machine.Pid = 0;
        return true;
      }
      sleepFor(10ms);
    }
    return Machine.Pid == 0;
  }

  bool runs(machine &Machine) {
    int Status = 0;
    if (Machine.Pid != 0 &&
        ::waitpid(Machine.Pid, &Status, WNOHANG) == Machine.Pid) {
      log().line("%s process ended, status %d", Machine.Name.c_str(), Status);
      Machine.Pid = 0;
    }
    return Machine.Pid != 0;
  }

  /// Memory of its own that a process holds, without that of shared libraries.
  static double memoryMb(pid_t Pid) {
    std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
    std::string Line;
    while (std::getline(File, Line)) {
      if (Line.rfind("RssAnon:", 0) == 0) {
        return std::strtod(Line.c_str() + 8, nullptr) / 1024;
      }
    }
    return 0;
  }

  void end() {
    for (auto &Machine : Machines) {
      if (Machine.Pid != 0) {
        ::kill(Machine.Pid, SIGKILL);
        ::waitpid(Machine.Pid, nullptr, 0);
        Machine.Pid = 0;
      }
    }
    if (!Dir.empty() && std::getenv("KEEP") == nullptr) {
      const std::string Command = "rm -rf '" + Dir + "'";
      if (std::system(Command.c_str()) != 0) {
        std::perror("rm");
      }
      Dir.clear();
    }
  }

private:
  bool findPorts() {
    std::srand(static_cast<unsigned>(::getpid()));
    for (int Try = 0; Try < 50; ++Try) {
      Net = "127." + std::to_string(20 + std::rand() % 200) + "." +
            std::to_string(1 + std::rand() % 250) + ".";
      const int Base = 20000 + 10 * (std::rand() % 1000);
      bool Free = true;
      for (int Port = Base; Port < Base + 10 && Free; ++Port) {
        for (int Host = 1; Host <= 50 && Free; ++Host) {
          const int Fd = listenOn(ipOf(Host), Port);
          Free = Fd >= 0;
          if (Fd >= 0) {
            ::close(Fd);
          }
        }
      }
      if (Free) {
        Ports = {Base,     Base + 1, Base + 2, Base + 3,
                 Base + 4, Base + 5, Base + 6, Base + 7};
        return true;
      }
    }
    return false;
  }

  /// The settings that `deploy/settings.toml` gives for such a machine.
  std::string settingsOf(const machine &Machine, const std::string &Base,
                         bool Bootstrap) const {
    const auto At = [&](int Port) {
      return "\"" + Machine.Ip + ":" + std::to_string(Port) + "\"\n";
    };
    std::string Text =
        "[node]\nname = \"" + Machine.Name + "\"\nroles = " +
        (Machine.HasDisk ? "[\"router\", \"control\"]" : "[\"router\"]") +
        "\nfailure_domain = \"" + Machine.Zone + "\"\nregion = \"region-1\"\n";
    if (Machine.HasDisk) {
      Text += "data_directory = \"" + Base + "/state\"\n";
    }
    Text +=
        "[listen]\nhttp = " + At(Ports.Metrics) + "mesh = " + At(Ports.Mesh);
    Text += "[fleet]\nseeds = [";
    for (int I = 1; I <= 3; ++I) {
      Text += std::string(I == 1 ? "" : ", ") + "\"" + ipOf(I) + ":" +
              std::to_string(Ports.Control) + "\"";
    }
    Text += "]\nseed_mesh_port = " + std::to_string(Ports.Mesh) +
            "\nbootstrap = " + (Bootstrap ? "true" : "false") + "\n";
    Text += "[gateway]\nrequests = " + At(Ports.Front) +
            "health = " + At(Ports.Ready) + "operators = " + At(Ports.Control) +
            "addresses = " + At(Ports.Directory) +
            "address_ttl_ms = 1000\nretry_slack = 60\n";
    Text += "[discovery]\nserver = \"" + ipOf(19) + ":" +
            std::to_string(Ports.Platform) + "\"\nmax_age_ms = 3000\n";
    Text += "[limits]\ndescriptors = " + std::to_string(Options.Descriptors) +
            "\nkilled_after_seconds = " + std::to_string(Options.GraceSeconds) +
            "\nmemory_mb = " + std::to_string(Options.MemoryMb) + "\n";
    if (Machine.HasDisk) {
      Text += "disk_mb = 64\n";
    }
    return Text;
  }
};

struct client_answer {
  int Status = 0;
  bool Whole = false;
  bool Closed = false;
  message Message;
};

/// Sends one request on a connection of its own.
inline client_answer call(const std::string &Ip, int Port,
                          const std::string &Text,
                          std::chrono::milliseconds Limit = 5000ms) {
  client_answer Answer;
  const int Fd = dial(Ip, Port);
  if (Fd < 0) {
    return Answer;
  }
  if (sendAll(Fd, Text)) {
    reader Reader(Fd);
    const auto Until = clock::now() + Limit;
    if (Reader.readHead(Answer.Message, Until)) {
      Answer.Status = Answer.Message.status();
      Answer.Whole = Reader.readBody(Answer.Message, Until);
    }
    Answer.Closed = Reader.Ended;
  }
  ::close(Fd);
  return Answer;
}

constexpr const char *Host = "shop.example";
constexpr const char *Key = "key-of-team-one";

/// Text of a client's request.
inline std::string requestText(const std::string &Method,
                               const std::string &Target, const std::string &Id,
                               const std::string &More = {},
                               const std::string &Body = {}) {
  std::string Text = Method + " " + Target + " HTTP/1.1\r\nHost: " + Host +
                     "\r\nAttempt-Id: " + Id + "\r\nAuthorization: Bearer " +
                     Key + "\r\n" + More;
  if (More.find("Deadline-Ms") == std::string::npos) {
    Text += "Deadline-Ms: 12000\r\n";
  }
  if (Method != "GET" && More.find("Transfer-Encoding") == std::string::npos) {
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  }
  return Text + "\r\n" + Body;
}

/// A configuration with one safe, one unsafe and one streaming route.
inline std::string configText(int Version, int PlainTimeoutMs = 12000) {
  constexpr int StreamTimeoutMs = 12000;
  const auto Route = [&](const std::string &Name, const std::string &Kind,
                         const std::string &Service, int Attempts,
                         const std::string &More) {
    const std::string Timeout =
        std::to_string(Kind == "streaming" ? StreamTimeoutMs : PlainTimeoutMs);
    return "{\"name\":\"" + Name + "\",\"host\":\"" + Host +
           "\",\"path_prefix\":\"/" + Name + "/\",\"kind\":\"" + Kind +
           "\",\"timeout_ms\":" + Timeout +
           ",\"target_latency_ms\":800,\"priority\":1,\"service\":\"" +
           Service + "\",\"max_attempts\":" + std::to_string(Attempts) +
           ",\"public\":false" + More + "}";
  };
  return "{\"version\":" + std::to_string(Version) + ",\"routes\":[" +
         Route("safe", "safe", "plain", 2, "") + "," +
         Route("unsafe", "unsafe", "plain", 1, "") + "," +
         Route("stream", "streaming", "plain", 2,
               ",\"sticky\":false,\"resumable\":true,\"gap_aim_ms\":500") +
         "],\"services\":[{\"name\":\"plain\",\"health_path\":\"/health\","
         "\"max_connections\":380,\"protocol\":\"h1\",\"tls\":false,"
         "\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
         "\"tenants\":[{\"name\":\"team-one\",\"api_keys\":[\"" +
         std::string(Key) + "\"],\"priority\":1}]}";
}

/// Sends a configuration until it is acknowledged.
inline bool putConfig(const fleet &Fleet, const std::string &Config,
                      std::chrono::milliseconds Limit = 15000ms) {
  const auto Until = clock::now() + Limit;
  const std::string Text =
      "PUT /v1/config HTTP/1.1\r\nHost: control\r\nContent-Type: "
      "application/json\r\nContent-Length: " +
      std::to_string(Config.size()) + "\r\n\r\n" + Config;
  for (std::size_t I = 0; clock::now() < Until; ++I) {
    const auto Answer =
        call(Fleet.Machines[I % 3].Ip, Fleet.Ports.Control, Text, 1000ms);
    if (Answer.Status == 200) {
      return true;
    }
    sleepFor(200ms);
  }
  return false;
}

inline bool isReady(const fleet &Fleet, const machine &Machine) {
  return call(Machine.Ip, Fleet.Ports.Ready,
              "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1000ms)
             .Status == 200;
}

inline bool waitReady(const fleet &Fleet,
                      std::chrono::milliseconds Limit = 15000ms) {
  const auto Until = clock::now() + Limit;
  for (const auto &Machine : Fleet.Machines) {
    while (!isReady(Fleet, Machine)) {
      if (clock::now() >= Until) {
        return false;
      }
      sleepFor(100ms);
    }
  }
  return true;
}

/// A small deployment that serves: machines, workers, list, configuration.
struct deployment {
  platform_list List;
  std::vector<std::unique_ptr<worker>> Workers;
  fleet Fleet;

  bool start(const std::string &Root, const fleet_options &Options,
             int WorkerCount = 3) {
    if (!Fleet.start(Root, Options)) {
      return false;
    }
    static const char *Zones[] = {"zone-a", "zone-b", "zone-c"};
    for (int I = 0; I < WorkerCount; ++I) {
      auto Worker = std::make_unique<worker>();
      Worker->Id = "i-" + std::to_string(I + 1);
      Worker->Service = "plain";
      Worker->Ip = Fleet.ipOf(30 + I);
      Worker->Port = Fleet.Ports.Worker;
      Worker->Zone = Zones[I % 3];
      if (!Worker->start()) {
        return false;
      }
      Workers.push_back(std::move(Worker));
    }
    publish();
    if (!List.start(Fleet.ipOf(19), Fleet.Ports.Platform) ||
        !putConfig(Fleet, configText(1, Options.PlainTimeoutMs)) ||
        !waitReady(Fleet)) {
      return false;
    }
    sleepFor(1500ms); // the list of workers has reached every machine
    for (const auto &Machine : Fleet.Machines) {
      const auto Answer =
          call(Machine.Ip, Fleet.Ports.Front,
               requestText("GET", "/safe/first", "first-" + Machine.Name));
      if (Answer.Status != 200) {
        log().line("%s answers %d to the first request", Machine.Name.c_str(),
                   Answer.Status);
        return false;
      }
    }
    log().line("deployment serves: %zu machines, %d workers",
               Fleet.Machines.size(), WorkerCount);
    return true;
  }

  void publish() {
    std::vector<worker *> Listed;
    for (const auto &Worker : Workers) {
      Listed.push_back(Worker.get());
    }
    List.set(Listed);
  }
};

/// Raises the soft limit of this process's descriptors to the hard one. Returns
/// false if that is too little.
inline bool allowDescriptors(rlim_t Needed) {
  rlimit Limit{};
  ::getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = Limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &Limit);
  return Limit.rlim_max == RLIM_INFINITY || Limit.rlim_max >= Needed;
}

/// Callers that send one request after the other on a kept connection each.
class kept_callers {
public:
  struct request {
    std::string Id;
    bool First = false; ///< on its connection
    bool Whole = false;
    bool Closed = false; ///< the connection ended without a whole answer
  };

  void start(const std::string &Ip, int Port, int Count) {
    for (int I = 0; I < Count; ++I) {
      Threads.emplace_back([this, Ip, Port, I] { run(Ip, Port, I); });
    }
  }

  std::vector<request> finish() {
    Ended = true;
    for (auto &Thread : Threads) {
      Thread.join();
    }
    Threads.clear();
    return Requests;
  }

private:
  /// Half of the callers send unsafe requests, half safe ones.
  void run(const std::string &Ip, int Port, int Number) {
    const bool Posts = Number % 2 == 0;
    int Fd = -1;
    std::unique_ptr<reader> Reader;
    for (int Sent = 0; !Ended; ++Sent) {
      request Request;
      Request.Id =
          "kept-" + std::to_string(Number) + "-" + std::to_string(Sent);
      if (Fd < 0) {
        Fd = dial(Ip, Port);
        if (Fd < 0) {
          sleepFor(100ms);
          continue;
        }
        Reader = std::make_unique<reader>(Fd);
        Request.First = true;
      }
      const auto Text = requestText(
          Posts ? "POST" : "GET", Posts ? "/unsafe/deposit" : "/safe/balance",
          Request.Id, "Work-Ms: 300\r\n", Posts ? "amount=5" : "");
      message Answer;
      const auto Until = clock::now() + 10s;
      Request.Whole = sendAll(Fd, Text) && Reader->readHead(Answer, Until) &&
                      Reader->readBody(Answer, Until);
      Request.Closed = !Request.Whole && !Reader->TimedOut;
      if (!Request.Whole || Answer.get("Connection") == "close") {
        ::close(Fd);
        Fd = -1;
      }
      const std::lock_guard Lock(Mutex);
      Requests.push_back(Request);
    }
    if (Fd >= 0) {
      ::close(Fd);
    }
  }

  std::atomic<bool> Ended = false;
  std::vector<std::thread> Threads;
  std::mutex Mutex;
  std::vector<request> Requests;
};

/// Requests from kept connections that were run by a worker and whose
/// connection then ended without a whole answer.
inline int countLost(const std::vector<kept_callers::request> &Requests) {
  int Lost = 0;
  int Whole = 0;
  for (const auto &Request : Requests) {
    Whole += Request.Whole ? 1 : 0;
    if (Request.Closed && !Request.First && runs().countOf(Request.Id) > 0) {
      ++Lost;
      log().line("%s: run, and the kept connection closed without an answer",
                 Request.Id.c_str());
    }
  }
  log().line("requests on kept connections: %zu, answered whole: %d, passed on "
             "to a sound worker and not answered: %d",
             Requests.size(), Whole, Lost);
  return Lost;
}

/// The rule LOST allows this many of them.
constexpr int MostLost = 3;

inline bool isTroubled() {
  const char *Trouble = std::getenv("TROUBLE");
  return Trouble == nullptr || std::string_view(Trouble) != "0";
}

/// Runs a case. The arguments are the project's root and the record's path.
inline int runCase(int Count, char **Arguments, int (*Case)(deployment &),
                   const fleet_options &Options, int WorkerCount = 3) {
  ::signal(SIGPIPE, SIG_IGN);
  startTime();
  if (Count < 3) {
    std::fprintf(stderr, "usage: %s ROOT RECORD\n", Arguments[0]);
    return ExitCannotRun;
  }
  log().open(Arguments[2]);
  log().line("trouble: %s", isTroubled() ? "yes" : "no");
  // Never destroyed: threads of the stand-ins use it to the end.
  auto *Deployment = new deployment;
  if (!Deployment->start(Arguments[1], Options, WorkerCount)) {
    log().line("the deployment does not serve");
    Deployment->Fleet.end();
    return ExitCannotRun;
  }
  const int Exit = Case(*Deployment);
  Deployment->Fleet.end();
  log().line("%s", Exit == ExitBroken ? "rule BROKEN"
                   : Exit == ExitHeld ? "rule held"
                                      : "case could not run");
  return Exit;
}

} // namespace stand

#endif
