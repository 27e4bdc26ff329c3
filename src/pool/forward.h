#ifndef ARBUTUS_POOL_FORWARD_H
#define ARBUTUS_POOL_FORWARD_H

namespace arbutus::pool {

enum class request_outcome;
enum class admission_code;
enum class member_state;
enum class grant_reason;
enum class breaker_state;
enum class limit_cause;

struct pool_report;
struct pool_grant;
struct load_report;
struct upstream_config;
struct member;
struct grantor_options;
struct decisions;
struct pending_request;
struct dispatch;
struct admission_error;

class fair_queue;
class upstream_limit;
class circuit_breaker;
class router_session;
class team_queue;
class grantor;
class credit_account;

} // namespace arbutus::pool

#endif
