#ifndef ARBUTUS_STORE_STORE_H
#define ARBUTUS_STORE_STORE_H

#include "store/applied.h"
#include "store/change.h"
#include "store/commands.h"
#include "store/config_replica.h"
#include "store/config_source.h"
#include "store/config_update.h"
#include "store/config_view.h"
#include "store/field_error.h"
#include "store/forward.h"
#include "store/outcome.h"
#include "store/resource.h"
#include "store/resource_json.h"
#include "store/snapshot_error.h"
#include "store/state_machine.h"

#endif
