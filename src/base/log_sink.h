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

/// Collects log lines in memory; a thread of its own writes them out, so that
/// a full pipe or a slow disk never holds up whoever logs. Lines that do not
/// fit are dropped and counted, and the count is written with the next lines.
class log_sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
  /// Takes ownership of an open descriptor if `Owned`.
  log_sink(int Descriptor, bool Owned);
  log_sink(const log_sink &) = delete;
  log_sink &operator=(const log_sink &) = delete;
  ~log_sink() override;

protected:
  // Names set by spdlog.
  // NOLINTBEGIN(readability-identifier-naming)
  void sink_it_(const spdlog::details::log_msg &Message) override;
  /// Waits until what was logged is written, but not for a blocked output.
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
  bool Hurry = false; ///< write without waiting for more lines
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace arbutus::impl

#endif
