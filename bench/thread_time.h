#ifndef ARBUTUS_BENCH_THREAD_TIME_H
#define ARBUTUS_BENCH_THREAD_TIME_H

#include <ctime>

namespace arbutus::bench {

/// Processor time that this thread has used, in seconds.
inline double threadSeconds() noexcept {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / 1e9;
}

} // namespace arbutus::bench

#endif
