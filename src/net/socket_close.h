#ifndef ARBUTUS_NET_SOCKET_CLOSE_H
#define ARBUTUS_NET_SOCKET_CLOSE_H

#include <nng/nng.h>

namespace arbutus::net::impl {

/// Closes a socket. Waits at most two seconds: nng 1.5.2 can wait for ever
/// when a frame arrives on a PULL socket at the moment of closing. The socket
/// is then left behind with a log line, so that a shutdown still ends.
void closeSocket(nng_socket Socket);

} // namespace arbutus::net::impl

#endif
