#ifndef ARBUTUS_POOL_POOL_H
#define ARBUTUS_POOL_POOL_H

#include "pool/circuit_breaker.h"
#include "pool/fair_scheduler.h"
#include "pool/forward.h"
#include "pool/grantor.h"
#include "pool/messages.h"
#include "pool/router_scheduler.h"
#include "pool/router_session.h"
#include "pool/team_queue.h"
#include "pool/upstream_limit.h"

#endif
