#ifndef ARBUTUS_CONSENSUS_FORWARD_H
#define ARBUTUS_CONSENSUS_FORWARD_H

#include <cstdint>

namespace arbutus::consensus {

enum class data_directory_id : std::uint64_t;
enum class entry_kind : std::uint8_t;
enum class membership_change_kind : std::uint8_t;
enum class role : std::uint8_t;
enum class rejection_reason : std::uint8_t;

struct member;
struct cluster_membership;
struct log_entry;
struct hard_state;
struct snapshot_meta;
struct snapshot;
struct recovered_state;
struct message;
struct raft_options;
struct disk_writes;
struct output;
struct rejection;
struct raft_status;
class raft_node;

} // namespace arbutus::consensus

#endif
