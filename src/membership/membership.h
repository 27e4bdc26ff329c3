#ifndef ARBUTUS_MEMBERSHIP_MEMBERSHIP_H
#define ARBUTUS_MEMBERSHIP_MEMBERSHIP_H

#include "membership/forward.h"
#include "membership/grantor_placement.h"
#include "membership/node_session.h"
#include "membership/session_table.h"

#endif
