#ifndef ARBUTUS_TESTS_STORE_SESSION_H
#define ARBUTUS_TESTS_STORE_SESSION_H

#include "store/store.h"

#include <string>
#include <utility>

namespace arbutus::store {

/// A state machine that is fed one command per log entry.
struct session {
  state_machine Store;
  std::uint64_t Index = 0;
  std::int64_t TimeMs = 1'000;

  command_outcome run(const command &Command) {
    const auto Applied = Store.apply(++Index, encodeBatch({TimeMs, {Command}}));
    return Applied.Outcomes.at(0);
  }
  template <class T> command_outcome run(T Command) {
    return run(makeCommand(std::move(Command)));
  }
  command_outcome put(const std::string &Id, const std::string &Name,
                      std::uint64_t Version, resource_spec Spec) {
    return run(put_command{Id, Name, Version, std::move(Spec)});
  }
  command_outcome erase(const std::string &Id, resource_kind Kind,
                        const std::string &Name, std::uint64_t Version) {
    return run(delete_command{Id, {Kind, Name}, Version});
  }
};

inline service plainService() {
  service Spec;
  Spec.Routes = {{"POST", "/deposits", false}, {"GET", "/balances", true}};
  return Spec;
}

inline team teamOf(std::vector<std::string> Services) {
  team Spec;
  Spec.Services = std::move(Services);
  return Spec;
}

inline upstream upstreamAt(std::string Address) {
  return {std::move(Address), "north-a", {"ledger"}, 16, upstream_state::In};
}

} // namespace arbutus::store

#endif
