#ifndef ARBUTUS_BASE_FORWARD_H
#define ARBUTUS_BASE_FORWARD_H

#include <cstdint>

namespace arbutus {

enum class team_id : std::uint32_t;
enum class upstream_id : std::uint32_t;
enum class pool_id : std::uint32_t;
enum class node_id : std::uint32_t;
enum class incarnation : std::uint64_t;
enum class epoch : std::uint64_t;
enum class revision : std::uint64_t;
enum class log_level;
enum class codec_error;

struct monotonic_clock;
struct log_field;
template <class Enum> struct name_row;
template <class Enum> struct name_table;
template <class T> class rcu_snapshot;

} // namespace arbutus

#endif
