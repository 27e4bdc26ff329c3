#ifndef ARBUTUS_CONSENSUS_CONSENSUS_H
#define ARBUTUS_CONSENSUS_CONSENSUS_H

#include "consensus/cluster_membership.h"
#include "consensus/forward.h"
#include "consensus/input.h"
#include "consensus/log_entry.h"
#include "consensus/message.h"
#include "consensus/options.h"
#include "consensus/output.h"
#include "consensus/raft_node.h"

#endif
