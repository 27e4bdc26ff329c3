#ifndef ARBUTUS_NET_REQUEST_NUMBERS_H
#define ARBUTUS_NET_REQUEST_NUMBERS_H

#include <cstdint>

namespace arbutus::net {

/// Number before the first request of a new sequence of requests to other
/// nodes. An answer names its request by the number alone and may arrive after
/// the process that asked has been replaced. The start is therefore random, so
/// that two processes of a node do not use the same numbers, whatever their
/// clocks say: sequences of 2^32 requests overlap with a probability of 2^-30.
[[nodiscard]] std::uint64_t randomSequenceStart();

} // namespace arbutus::net

#endif
