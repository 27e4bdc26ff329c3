#ifndef ARBUTUS_CONSENSUS_FORWARD_H
#define ARBUTUS_CONSENSUS_FORWARD_H

#include <cstdint>

namespace arbutus::consensus {

enum class disk_id : std::uint64_t;
enum class entry_kind : std::uint8_t;
enum class change_kind : std::uint8_t;
enum class role : std::uint8_t;
enum class refusal_reason : std::uint8_t;

struct member;
struct voter_set;
struct log_entry;
struct hard_state;
struct snapshot_meta;
struct snapshot;
struct recovered_state;
struct message;
struct raft_options;
struct disk_writes;
struct output;
struct refusal;
struct status;
class raft_node;

} // namespace arbutus::consensus

#endif
