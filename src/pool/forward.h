#ifndef ARBUTUS_POOL_FORWARD_H
#define ARBUTUS_POOL_FORWARD_H

namespace arbutus::pool {

enum class request_outcome;
enum class admission_error_code;
enum class session_state;
enum class grant_reason;
enum class breaker_state;
enum class limit_cause;

struct pool_report;
struct pool_grant;
struct upstream_load_report;
struct upstream_config;
struct session_info;
struct grantor_options;
struct grantor_decisions;
struct pending_request;
struct dispatch_decision;
struct admission_error;

class fair_scheduler;
class upstream_limit;
class circuit_breaker;
class router_session;
class team_queue;
class grantor;
class router_scheduler;

} // namespace arbutus::pool

#endif
