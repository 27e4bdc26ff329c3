#ifndef ARBUTUS_MEMBERSHIP_FORWARD_H
#define ARBUTUS_MEMBERSHIP_FORWARD_H

namespace arbutus::membership {

enum class lease_outcome;
enum class session_event_kind;
enum class move_reason;

struct node_info;
struct live_node;
struct prior_session;
struct heartbeat;
struct lease_reply;
struct session_event;
struct session_timing;
struct grantor_assignment;
struct grantor_move;

class session_table;

} // namespace arbutus::membership

#endif
