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

/// Bounds the memory for lines that wait for a blocked output.
constexpr std::size_t MaxPendingBytes = std::size_t{1} << 20U;
/// Lines are collected for this long, so that one write takes many.
constexpr auto CollectTime = std::chrono::milliseconds(50);
/// Longest wait of a flush for a blocked output.
constexpr auto MaxFlushTime = std::chrono::seconds(1);
/// Time between two checks whether the sink is stopping while the output is
/// blocked.
constexpr int PollTimeoutMs = 100;

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
    if (Pending.size() + Line.size() > MaxPendingBytes) {
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
  FlushRequested = true;
  Wake.notify_one();
  Written.wait_for(Lock, MaxFlushTime,
                   [this] { return Pending.empty() && !Writing; });
}

void log_sink::run() {
  std::unique_lock Lock(Mutex);
  while (true) {
    Wake.wait(Lock, [this] { return Stopping || !Pending.empty(); });
    if (!Stopping && !FlushRequested) {
      Wake.wait_for(Lock, CollectTime,
                    [this] { return Stopping || FlushRequested; });
    }
    if (Pending.empty()) {
      return; // Stopping; all lines are written.
    }
    FlushRequested = false;
    const std::string Lines = std::exchange(Pending, {});
    const std::uint64_t DroppedCount = std::exchange(Dropped, 0);
    Writing = true;
    Lock.unlock();
    bool Ok = writeOut(Lines);
    if (Ok && DroppedCount != 0) {
      Ok = writeOut("level=warning event=log_lines_dropped lines=" +
                    std::to_string(DroppedCount) + "\n");
    }
    Lock.lock();
    Writing = false;
    Written.notify_all();
    if (!Ok && Stopping) {
      return; // The output is blocked or closed.
    }
  }
}

bool log_sink::writeOut(std::string_view Lines) {
  while (!Lines.empty()) {
    pollfd Output{Descriptor, POLLOUT, 0};
    const int Ready = ::poll(&Output, 1, PollTimeoutMs);
    if (Ready == 0 && Stopping) {
      return false;
    }
    if (Ready <= 0) {
      continue;
    }
    // A pipe that is ready accepts PIPE_BUF bytes without blocking.
    const auto Size = std::min<std::size_t>(Lines.size(), PIPE_BUF);
    const auto Count = ::write(Descriptor, Lines.data(), Size);
    if (Count < 0 && (errno == EINTR || errno == EAGAIN)) {
      continue;
    }
    if (Count <= 0) {
      return false; // The log is the only place to report a failed write to.
    }
    Lines.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

} // namespace arbutus::impl
