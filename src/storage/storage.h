#ifndef ARBUTUS_STORAGE_STORAGE_H
#define ARBUTUS_STORAGE_STORAGE_H

#include "storage/durable_log.h"
#include "storage/file_operations.h"
#include "storage/forward.h"
#include "storage/storage_error.h"

#endif
