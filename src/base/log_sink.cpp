#include "base/log_sink.h"

#include <poll.h>
#include <spdlog/details/log_msg.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <utility>

namespace arbutus::impl {

namespace {

/// Lines that wait for a blocked output, in bytes. It bounds memory.
constexpr std::size_t MostPendingBytes = std::size_t{1} << 20U;
/// Time for which lines are collected, so that one write takes many.
constexpr auto CollectFor = std::chrono::milliseconds(50);
/// Longest wait for a blocked output when a process ends.
constexpr auto LongestFlush = std::chrono::seconds(1);
/// Time between two looks whether a blocked output is to be given up.
constexpr int PollMillis = 100;

} // namespace

log_sink::log_sink(int Descriptor, bool Owned)
    : Descriptor(Descriptor), Owned(Owned), Thread([this] { run(); }) {}

log_sink::~log_sink() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_one();
  Thread.join();
  if (Owned) {
    ::close(Descriptor);
  }
}

void log_sink::sink_it_(const spdlog::details::log_msg &Message) {
  spdlog::memory_buf_t Line;
  formatter_->format(Message, Line);
  bool First = false;
  {
    const std::lock_guard Lock(Mutex);
    if (Pending.size() + Line.size() > MostPendingBytes) {
      ++Dropped;
      return;
    }
    First = Pending.empty();
    Pending.append(Line.data(), Line.size());
  }
  if (First) {
    Wake.notify_one();
  }
}

void log_sink::flush_() {
  std::unique_lock Lock(Mutex);
  Hurry = true;
  Wake.notify_one();
  Written.wait_for(Lock, LongestFlush,
                   [this] { return Pending.empty() && !Writing; });
}

void log_sink::run() {
  std::unique_lock Lock(Mutex);
  while (true) {
    Wake.wait(Lock, [this] { return Stopping || !Pending.empty(); });
    if (!Stopping && !Hurry) {
      Wake.wait_for(Lock, CollectFor, [this] { return Stopping || Hurry; });
    }
    if (Pending.empty()) {
      return; // stopping, and nothing is left
    }
    Hurry = false;
    const std::string Lines = std::exchange(Pending, {});
    const std::uint64_t Lost = std::exchange(Dropped, 0);
    Writing = true;
    Lock.unlock();
    bool Ok = writeOut(Lines);
    if (Ok && Lost != 0) {
      Ok = writeOut("level=warning event=log_lines_dropped lines=" +
                    std::to_string(Lost) + "\n");
    }
    Lock.lock();
    Writing = false;
    Written.notify_all();
    if (!Ok && Stopping) {
      return; // nobody reads the output any more
    }
  }
}

bool log_sink::writeOut(std::string_view Lines) {
  while (!Lines.empty()) {
    pollfd Output{Descriptor, POLLOUT, 0};
    const int Ready = ::poll(&Output, 1, PollMillis);
    if (Ready == 0 && Stopping) {
      return false;
    }
    if (Ready <= 0) {
      continue;
    }
    // A pipe that is ready takes this much without blocking.
    const auto Size = std::min<std::size_t>(Lines.size(), PIPE_BUF);
    const auto Count = ::write(Descriptor, Lines.data(), Size);
    if (Count < 0 && (errno == EINTR || errno == EAGAIN)) {
      continue;
    }
    if (Count <= 0) {
      return false; // there is no place left to report it to
    }
    Lines.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

} // namespace arbutus::impl
