#ifndef ARBUTUS_BASE_BASE_H
#define ARBUTUS_BASE_BASE_H

#include "base/clock.h"
#include "base/codec.h"
#include "base/digest.h"
#include "base/forward.h"
#include "base/ids.h"
#include "base/log.h"
#include "base/name_table.h"
#include "base/rcu_snapshot.h"
#include "base/result.h"

#endif
