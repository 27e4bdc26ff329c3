#include "consensus/log_entry.h"

namespace arbutus::consensus {

void log_entry::msgpack_unpack(const msgpack::object &In) {
  if (In.type != msgpack::type::ARRAY || In.via.array.size != 4) {
    throw msgpack::type_error();
  }
  const auto *Parts = In.via.array.ptr;
  Index = Parts[0].as<std::uint64_t>();
  Term = Parts[1].as<std::uint64_t>();
  const auto Number = Parts[2].as<std::uint8_t>();
  if (Number > static_cast<std::uint8_t>(entry_kind::Membership)) {
    throw msgpack::type_error();
  }
  Kind = static_cast<entry_kind>(Number);
  Payload = Parts[3].as<std::string>();
}

recovered_state bootstrapState(const cluster_membership &Voters) {
  recovered_state State;
  State.HardState.Term = 1;
  State.Entries.push_back({1, 1, entry_kind::Membership, encode(Voters)});
  return State;
}

} // namespace arbutus::consensus
