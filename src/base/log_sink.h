#ifndef ARBUTUS_BASE_LOG_SINK_H
#define ARBUTUS_BASE_LOG_SINK_H

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace arbutus::impl {

/// Buffers log lines in memory and writes them on its own thread, so that a
/// full pipe or a slow disk never blocks the threads that log. Lines that
/// exceed the buffer are dropped; their number is written after the next lines.
class log_sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
  /// Writes to an open descriptor; closes it when destroyed if `Owned`.
  log_sink(int Descriptor, bool Owned);
  log_sink(const log_sink &) = delete;
  log_sink &operator=(const log_sink &) = delete;
  ~log_sink() override;

protected:
  // spdlog defines these names.
  // NOLINTBEGIN(readability-identifier-naming)
  void sink_it_(const spdlog::details::log_msg &Message) override;
  /// Waits until buffered lines are written, but at most 1 s for a blocked
  /// output.
  void flush_() override;
  // NOLINTEND(readability-identifier-naming)

private:
  void run();
  bool writeOut(std::string_view Lines);

  int Descriptor;
  bool Owned;
  std::mutex Mutex;
  std::condition_variable Wake;
  std::condition_variable Written;
  std::string Pending;
  std::uint64_t Dropped = 0;
  bool Writing = false;
  /// Makes the thread write at once instead of collecting more lines.
  bool FlushRequested = false;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace arbutus::impl

#endif
