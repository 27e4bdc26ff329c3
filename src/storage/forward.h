#ifndef ARBUTUS_STORAGE_FORWARD_H
#define ARBUTUS_STORAGE_FORWARD_H

namespace arbutus::storage {

enum class storage_errc;
struct storage_error;
struct file_hooks;
struct open_options;
struct opened_log;
class durable_log;

} // namespace arbutus::storage

#endif
