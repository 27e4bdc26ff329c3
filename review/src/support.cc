#include "support.hh"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <set>
#include <sstream>

namespace review {

namespace {

std::mutex ChildrenMutex;
std::set<pid_t> Children;

void killChildren() {
  const std::lock_guard Lock(ChildrenMutex);
  for (const pid_t Pid : Children) {
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
  }
  Children.clear();
}

struct socket_address {
  std::string Ip;
  int Port = 0;
};

socket_address split(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  return {Address.substr(0, Colon), std::stoi(Address.substr(Colon + 1))};
}

sockaddr_in toSystem(const socket_address &Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Address.Port));
  ::inet_pton(AF_INET, Address.Ip.c_str(), &Result.sin_addr);
  return Result;
}

/// A connected socket, or -1.
int connectTo(const std::string &Address, std::int64_t TimeoutMs) {
  const int Descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto Target = toSystem(split(Address));
  const int One = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Target),
                sizeof Target) != 0 &&
      errno != EINPROGRESS) {
    ::close(Descriptor);
    return -1;
  }
  pollfd Wait{Descriptor, POLLOUT, 0};
  int Error = 0;
  socklen_t Size = sizeof Error;
  if (::poll(&Wait, 1, static_cast<int>(TimeoutMs)) != 1 ||
      ::getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
      Error != 0) {
    ::close(Descriptor);
    return -1;
  }
  return Descriptor;
}

bool writeAll(int Descriptor, const std::string &Bytes, std::int64_t EndMs) {
  std::size_t Written = 0;
  while (Written < Bytes.size()) {
    const auto Count = ::send(Descriptor, Bytes.data() + Written,
                              Bytes.size() - Written, MSG_NOSIGNAL);
    if (Count > 0) {
      Written += static_cast<std::size_t>(Count);
      continue;
    }
    pollfd Wait{Descriptor, POLLOUT, 0};
    const auto Left = EndMs - nowMs();
    if ((errno != EAGAIN && errno != EINTR) || Left <= 0 ||
        ::poll(&Wait, 1, static_cast<int>(Left)) != 1) {
      return false;
    }
  }
  return true;
}

/// Reads bytes from a connection; keeps what follows a message.
class byte_reader {
public:
  explicit byte_reader(int Descriptor) : Descriptor(Descriptor) {}

  /// Reads more bytes; false at the end of the connection or of the time.
  bool more(std::int64_t EndMs) {
    const auto Left = EndMs - nowMs();
    pollfd Wait{Descriptor, POLLIN, 0};
    if (Left <= 0 || ::poll(&Wait, 1, static_cast<int>(Left)) != 1) {
      return false;
    }
    char Bytes[16384];
    const auto Count = ::recv(Descriptor, Bytes, sizeof Bytes, 0);
    if (Count <= 0) {
      return Count < 0 && (errno == EAGAIN || errno == EINTR);
    }
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  /// Reads a message; nothing if no whole head came.
  std::optional<message> read(std::int64_t EndMs, bool IsAnswer) {
    std::size_t HeadEnd = 0;
    while ((HeadEnd = Buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!more(EndMs)) {
        return std::nullopt;
      }
    }
    message Message = parseHead(Buffer.substr(0, HeadEnd));
    Buffer.erase(0, HeadEnd + 4);
    readBody(Message, EndMs, IsAnswer);
    return Message;
  }

private:
  static message parseHead(const std::string &Text) {
    message Message;
    std::istringstream Lines(Text);
    std::string Line;
    while (std::getline(Lines, Line)) {
      if (!Line.empty() && Line.back() == '\r') {
        Line.pop_back();
      }
      if (Message.Start.empty()) {
        Message.Start = Line;
        continue;
      }
      const auto Colon = Line.find(':');
      if (Colon != std::string::npos) {
        const auto Value = Line.find_first_not_of(" \t", Colon + 1);
        Message.Headers.emplace_back(
            Line.substr(0, Colon),
            Value == std::string::npos ? "" : Line.substr(Value));
      }
    }
    return Message;
  }

  bool fill(std::size_t Size, std::int64_t EndMs) {
    while (Buffer.size() < Size) {
      if (!more(EndMs)) {
        return false;
      }
    }
    return true;
  }

  void readBody(message &Message, std::int64_t EndMs, bool IsAnswer) {
    if (strcasecmp(Message.header("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      readChunks(Message, EndMs);
      return;
    }
    const std::string Length = Message.header("Content-Length");
    if (Length.empty() && IsAnswer) {
      while (more(EndMs)) {
      }
      Message.Body = std::exchange(Buffer, {});
      return;
    }
    const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
    Message.Complete = fill(Size, EndMs);
    Message.Body = Buffer.substr(0, Size);
    Buffer.erase(0, Size);
  }

  void readChunks(message &Message, std::int64_t EndMs) {
    while (true) {
      std::size_t LineEnd = 0;
      while ((LineEnd = Buffer.find("\r\n")) == std::string::npos) {
        if (!more(EndMs)) {
          return;
        }
      }
      const std::size_t Size =
          std::stoul(Buffer.substr(0, LineEnd), nullptr, 16);
      Buffer.erase(0, LineEnd + 2);
      if (!fill(Size + 2, EndMs)) {
        return;
      }
      Message.Body += Buffer.substr(0, Size);
      Buffer.erase(0, Size + 2);
      if (Size == 0) {
        Message.Complete = true;
        return;
      }
    }
  }

  int Descriptor;
  std::string Buffer;
};

std::string headText(const std::string &Start, const headers &Headers) {
  std::string Text = Start + "\r\n";
  for (const auto &[Name, Value] : Headers) {
    Text += Name + ": " + Value + "\r\n";
  }
  return Text;
}

std::string withBody(std::string Head, const std::string &Body) {
  return Head + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

bool canBind(const std::string &Ip, int Port) {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  ::setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  const auto At = toSystem({Ip, Port});
  const bool Bound = ::bind(Descriptor, reinterpret_cast<const sockaddr *>(&At),
                            sizeof At) == 0;
  ::close(Descriptor);
  return Bound;
}

constexpr int FrontOffset = 1;
constexpr int ReadyOffset = 2;
constexpr int ControlOffset = 3;
constexpr int DirectoryOffset = 4;
constexpr int MeshOffset = 5;
constexpr int HttpOffset = 6;
constexpr int PortsNeeded = 32;

} // namespace

std::int64_t nowMs() {
  static const auto Begin = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Begin)
      .count();
}

void sleepMs(std::int64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

record::record(const std::string &File) : Out(File, std::ios::trunc) {}

void record::add(const std::string &Line) {
  const std::lock_guard Lock(Mutex);
  Out << nowMs() << " " << Line << std::endl;
}

std::string message::header(const std::string &Name) const {
  for (const auto &[Known, Value] : Headers) {
    if (strcasecmp(Known.c_str(), Name.c_str()) == 0) {
      return Value;
    }
  }
  return {};
}

std::string message::method() const { return Start.substr(0, Start.find(' ')); }

std::string message::target() const {
  const auto First = Start.find(' ');
  return Start.substr(First + 1, Start.find(' ', First + 1) - First - 1);
}

int message::status() const {
  const auto First = Start.find(' ');
  return First == std::string::npos ? 0 : std::atoi(Start.c_str() + First);
}

reply call(const std::string &Address, const std::string &Method,
           const std::string &Target, const headers &Headers,
           const std::string &Body, std::int64_t TimeoutMs) {
  reply Result;
  const std::int64_t EndMs = nowMs() + TimeoutMs;
  const int Descriptor =
      connectTo(Address, std::min<std::int64_t>(TimeoutMs, 1000));
  if (Descriptor < 0) {
    Result.Unreachable = true;
    return Result;
  }
  if (writeAll(Descriptor,
               withBody(headText(Method + " " + Target + " HTTP/1.1", Headers),
                        Body),
               EndMs)) {
    byte_reader Reader(Descriptor);
    if (auto Answer = Reader.read(EndMs, true)) {
      Result.Status = Answer->status();
      Result.Answer = std::move(*Answer);
    }
  }
  ::close(Descriptor);
  return Result;
}

message makeAnswer(int Status, headers Headers, std::string Body) {
  message Answer;
  Answer.Start = "HTTP/1.1 " + std::to_string(Status) + " X";
  Answer.Headers = std::move(Headers);
  Answer.Body = std::move(Body);
  return Answer;
}

server::server(const std::string &Ip, int Port, handler Handler)
    : Handler(std::move(Handler)) {
  Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  const auto At = toSystem({Ip, Port});
  if (::bind(Listener, reinterpret_cast<const sockaddr *>(&At), sizeof At) !=
          0 ||
      ::listen(Listener, 256) != 0) {
    std::cerr << "cannot listen at " << Ip << ":" << Port << ": "
              << std::strerror(errno) << "\n";
    killChildren();
    std::_Exit(CouldNotRun);
  }
  Acceptor = std::thread([this] {
    while (!Stopping) {
      pollfd Wait{Listener, POLLIN, 0};
      if (::poll(&Wait, 1, 100) != 1) {
        continue;
      }
      const int Descriptor =
          ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Descriptor >= 0) {
        std::thread([this, Descriptor] { serve(Descriptor); }).detach();
      }
    }
  });
}

server::~server() {
  Stopping = true;
  Acceptor.join();
  ::close(Listener);
}

void server::serve(int Descriptor) {
  const int One = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  constexpr std::int64_t IdleMs = 600'000;
  byte_reader Reader(Descriptor);
  while (!Stopping) {
    const auto Request = Reader.read(nowMs() + IdleMs, false);
    if (!Request || !Request->Complete) {
      break;
    }
    const message Answer = Handler(*Request);
    if (!writeAll(Descriptor,
                  withBody(headText(Answer.Start, Answer.Headers), Answer.Body),
                  nowMs() + IdleMs)) {
      break;
    }
  }
  ::close(Descriptor);
}

worker::worker(worker_entry Given, run_function Run)
    : Entry(std::move(Given)), Run(std::move(Run)) {
  const auto At = split(Entry.Address);
  Server =
      std::make_unique<server>(At.Ip, At.Port, [this](const message &Request) {
        const std::string Expected = Request.header("Expect-Instance");
        if (!Expected.empty() && Expected != Entry.Id) {
          return makeAnswer(421, {{"Attempt-Id", Request.header("Attempt-Id")}},
                            "");
        }
        return this->Run(Entry, Request);
      });
}

platform::platform(const std::string &Ip, int Port,
                   std::vector<worker_entry> Entries) {
  Page = R"({"instances":[)";
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    const auto &E = Entries[I];
    Page += (I == 0 ? "" : ",");
    Page += R"({"id":")" + E.Id + R"(","service":")" + E.Service +
            R"(","address":")" + E.Address + R"(","zone":")" + E.Zone +
            R"(","version":"v1","slots":)" + std::to_string(E.Slots) +
            R"(,"state":"ready","cold_remaining_ms":0,"born":1700000000000})";
  }
  Page += R"(],"next":null})";
  Server = std::make_unique<server>(Ip, Port, [this](const message &) {
    return makeAnswer(200, {{"Content-Type", "application/json"}}, Page);
  });
}

fleet::fleet(int Core, int Front) {
  std::srand(static_cast<unsigned>(::getpid()));
  Subnet = 1 + ::getpid() % 200;
  static const char *const Zones[] = {"a", "b", "c"};
  for (int I = 0; I < Core + Front; ++I) {
    machine Machine;
    Machine.Core = I < Core;
    Machine.Zone = std::string("zone-") + Zones[I % 3];
    Machine.Name = "front-" + std::to_string(I + 1);
    Machine.Ip = "127." + std::to_string(60 + Subnet / 100) + "." +
                 std::to_string(1 + Subnet % 100) + "." + std::to_string(I + 1);
    Machines.push_back(Machine);
  }
  Started.resize(Machines.size());
  for (int Try = 0; Try < 100; ++Try) {
    Base = 20000 + (std::rand() % 300) * PortsNeeded;
    bool Free = true;
    for (const auto &Machine : Machines) {
      for (int Offset = 0; Offset < PortsNeeded && Free; ++Offset) {
        Free = canBind(Machine.Ip, Base + Offset);
      }
    }
    if (Free) {
      break;
    }
  }
  char Template[] = "/tmp/review-XXXXXX";
  Directory = ::mkdtemp(Template);
}

std::string fleet::front(std::size_t Index) const {
  return Machines[Index].Ip + ":" + std::to_string(Base + FrontOffset);
}
std::string fleet::ready(std::size_t Index) const {
  return Machines[Index].Ip + ":" + std::to_string(Base + ReadyOffset);
}
std::string fleet::control(std::size_t Index) const {
  return Machines[Index].Ip + ":" + std::to_string(Base + ControlOffset);
}
std::string fleet::freeIp(int Number) const {
  const auto Last = Machines.front().Ip.rfind('.');
  return Machines.front().Ip.substr(0, Last + 1) + std::to_string(100 + Number);
}
std::string fleet::platformAddress() const {
  return freeIp(99) + ":" + std::to_string(platformPort());
}

/// The deploy file's template, filled in as the platform does it.
std::string fleet::settings(std::size_t Index) const {
  const auto &Machine = Machines[Index];
  const auto At = [&](int Offset) {
    return "\"" + Machine.Ip + ":" + std::to_string(Base + Offset) + "\"";
  };
  std::string Seeds;
  int Count = 0;
  for (std::size_t I = 0; I < Machines.size() && Count < 3; ++I) {
    if (Machines[I].Core) {
      Seeds += (Count++ == 0 ? "\"" : ", \"") + control(I) + "\"";
    }
  }
  std::string Text = "[node]\nname = \"" + Machine.Name + "\"\n";
  Text += Machine.Core ? "roles = [\"router\", \"control\"]\n"
                       : "roles = [\"router\"]\n";
  Text += "failure_domain = \"" + Machine.Zone + "\"\nregion = \"north\"\n";
  if (Machine.Core) {
    Text +=
        "data_directory = \"" + Directory + "/" + Machine.Name + "/state\"\n";
  }
  Text += "[listen]\nhttp = " + At(HttpOffset) + "\nmesh = " + At(MeshOffset) +
          "\n[fleet]\nseeds = [" + Seeds +
          "]\nseed_mesh_port = " + std::to_string(Base + MeshOffset) +
          "\nbootstrap = " + (Started[Index] ? "false" : "true") +
          "\n[gateway]\nrequests = " + At(FrontOffset) +
          "\nhealth = " + At(ReadyOffset) +
          "\noperators = " + At(ControlOffset) +
          "\naddresses = " + At(DirectoryOffset) +
          "\naddress_ttl_ms = 1000\nretry_slack = 60\n[discovery]\nserver = "
          "\"" +
          platformAddress() +
          "\"\nmax_age_ms = 3000\n[limits]\ndescriptors = "
          "4100\nkilled_after_seconds = 8\n";
  return Text;
}

void fleet::start(std::size_t Index) {
  auto &Machine = Machines[Index];
  const std::string Folder = Directory + "/" + Machine.Name;
  std::filesystem::create_directories(Folder);
  const std::string File = Folder + "/settings.toml";
  std::ofstream(File) << settings(Index);
  Started[Index] = true;
  const std::string Log = Folder + "/log";
  const std::string Option = "--config=" + File;
  const pid_t Pid = ::fork();
  if (Pid == 0) {
    const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Out, 1);
    ::dup2(Out, 2);
    ::execl("target/arbutustack", "target/arbutustack", "serve", Option.c_str(),
            static_cast<char *>(nullptr));
    ::_exit(127);
  }
  Machine.Pid = Pid;
  const std::lock_guard Lock(ChildrenMutex);
  Children.insert(Pid);
}

void fleet::startAll() {
  for (std::size_t I = 0; I < Machines.size(); ++I) {
    start(I);
  }
}

void fleet::signal(std::size_t Index, int Number) {
  if (Machines[Index].Pid > 0) {
    ::kill(Machines[Index].Pid, Number);
  }
}

void fleet::kill(std::size_t Index) {
  auto &Machine = Machines[Index];
  if (Machine.Pid <= 0) {
    return;
  }
  const std::lock_guard Lock(ChildrenMutex);
  ::kill(Machine.Pid, SIGKILL);
  ::waitpid(Machine.Pid, nullptr, 0);
  Children.erase(Machine.Pid);
  Machine.Pid = 0;
}

bool fleet::running(std::size_t Index) {
  auto &Machine = Machines[Index];
  if (Machine.Pid <= 0) {
    return false;
  }
  const std::lock_guard Lock(ChildrenMutex);
  if (::waitpid(Machine.Pid, nullptr, WNOHANG) == Machine.Pid) {
    Children.erase(Machine.Pid);
    Machine.Pid = 0;
    return false;
  }
  return true;
}

bool fleet::waitReady(std::int64_t TimeoutMs) {
  const std::int64_t EndMs = nowMs() + TimeoutMs;
  while (nowMs() < EndMs) {
    std::size_t Ready = 0;
    for (std::size_t I = 0; I < Machines.size(); ++I) {
      Ready +=
          call(ready(I), "GET", "/v1/ready", {{"Host", "x"}}, "", 500).Status ==
                  200
              ? 1U
              : 0U;
    }
    if (Ready == Machines.size()) {
      return true;
    }
    sleepMs(100);
  }
  return false;
}

std::string fleet::logText(std::size_t Index) const {
  std::ifstream In(Directory + "/" + Machines[Index].Name + "/log");
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

std::optional<std::size_t> fleet::leader() {
  std::optional<std::size_t> Newest;
  unsigned long NewestTerm = 0;
  for (std::size_t I = 0; I < Machines.size(); ++I) {
    std::istringstream Lines(Machines[I].Core ? logText(I) : std::string());
    std::string Line;
    while (std::getline(Lines, Line)) {
      const auto Term = Line.find(" term=");
      if (Line.find("event=leading") == std::string::npos ||
          Term == std::string::npos) {
        continue;
      }
      const auto Value = std::stoul(Line.substr(Term + 6));
      if (!Newest || Value > NewestTerm) {
        Newest = I;
        NewestTerm = Value;
      }
    }
  }
  return Newest;
}

void fleet::end(int Code) {
  killChildren();
  if (std::getenv("KEEP") == nullptr) {
    std::error_code Ignored;
    std::filesystem::remove_all(Directory, Ignored);
  } else {
    std::cerr << "kept " << Directory << "\n";
  }
  std::cout.flush();
  std::_Exit(Code);
}

int sendOrder(record &Record, const std::vector<std::string> &Controls,
              const std::string &Method, const std::string &Target,
              const std::string &Body, std::int64_t TimeoutMs) {
  const std::int64_t EndMs = nowMs() + TimeoutMs;
  int Status = 0;
  for (std::size_t I = 0; nowMs() < EndMs; ++I) {
    const auto &At = Controls[I % Controls.size()];
    Record.add("operator sends " + Method + " " + Target + " to " + At);
    Status = call(At, Method, Target,
                  {{"Host", "control"}, {"Content-Type", "application/json"}},
                  Body, 1000)
                 .Status;
    Record.add("operator gets " + std::to_string(Status) + " for " + Method +
               " " + Target + " from " + At);
    if (Status == 200 || (Status >= 400 && Status < 500)) {
      return Status;
    }
    sleepMs(100);
  }
  return Status;
}

bool troubleWanted() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

void limitRunTime(std::int64_t Ms) {
  const auto End = [](int) {
    killChildren();
    std::_Exit(CouldNotRun);
  };
  std::signal(SIGTERM, End);
  std::signal(SIGINT, End);
  std::signal(SIGPIPE, SIG_IGN);
  std::thread([Ms] {
    sleepMs(Ms);
    std::cerr << "the run takes too long\n";
    killChildren();
    std::_Exit(CouldNotRun);
  }).detach();
}

} // namespace review
