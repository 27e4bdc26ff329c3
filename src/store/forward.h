#ifndef ARBUTUS_STORE_FORWARD_H
#define ARBUTUS_STORE_FORWARD_H

#include <memory>

namespace arbutus::store {

enum class resource_kind : int;
enum class upstream_state : int;
enum class domain_state : int;
enum class service_kind : int;
enum class field_code : int;
enum class outcome_code : int;
enum class apply_status : int;
enum class snapshot_error_code : int;
enum class replica_error_code : int;

struct team;
struct route;
struct upstream;
struct failure_domain;
struct service;
struct policy;
struct pool;
struct resource;
struct object_key;
struct change;
struct field_error;

struct put_command;
struct delete_command;
struct claim_command;
struct complete_command;
struct withdraw_command;
struct abandon_command;
struct assign_pool_command;
struct expire_command;
struct command;
struct batch;
struct claim_answer;
struct command_outcome;
struct applied;

struct config_position;
struct config_update;
struct replica_error;
class state_machine;
class config_source;
class config_replica;
class config_view;

using resource_ptr = std::shared_ptr<const resource>;

} // namespace arbutus::store

#endif
