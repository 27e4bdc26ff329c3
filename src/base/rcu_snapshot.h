#ifndef ARBUTUS_BASE_RCU_SNAPSHOT_H
#define ARBUTUS_BASE_RCU_SNAPSHOT_H

#include <urcu/urcu-bp.h>

#include <memory>
#include <utility>

namespace arbutus {

/// An immutable value that one thread replaces and many threads read without
/// locks (RCU). A reader sees either the whole old value or the whole new one.
template <class T> class rcu_snapshot {
public:
  explicit rcu_snapshot(std::unique_ptr<T> Initial) noexcept
      : Current(Initial.release()) {}
  rcu_snapshot(const rcu_snapshot &) = delete;
  rcu_snapshot &operator=(const rcu_snapshot &) = delete;
  ~rcu_snapshot() { delete Current; }

  /// Calls `Reader(const T &)` inside a read-side critical section and returns
  /// its result. The reader must not block and must not keep the reference.
  template <class Function> decltype(auto) read(Function &&Reader) const {
    const guard Guard;
    return Reader(std::as_const(*rcu_dereference(Current)));
  }

  /// Replaces the value, waits for an RCU grace period and deletes the old
  /// value. Call it from the control thread only.
  void replace(std::unique_ptr<T> Next) {
    T *Old = Current;
    rcu_assign_pointer(Current, Next.release());
    urcu_bp_synchronize_rcu();
    delete Old;
  }

private:
  struct guard {
    guard() noexcept { urcu_bp_read_lock(); }
    ~guard() { urcu_bp_read_unlock(); }
    guard(const guard &) = delete;
    guard &operator=(const guard &) = delete;
  };

  T *Current;
};

} // namespace arbutus

#endif
