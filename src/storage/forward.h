#ifndef ARBUTUS_STORAGE_FORWARD_H
#define ARBUTUS_STORAGE_FORWARD_H

namespace arbutus::storage {

enum class storage_errc;
struct storage_error;
struct file_operations;
struct durable_log_options;
struct open_result;
class durable_log;

} // namespace arbutus::storage

#endif
