#pragma once

struct bufferevent;

namespace cowsliphead
{

/// True if the server that ended this connection had received all bytes of the request, and has not reset the connection. An answer that ends
/// with the connection is whole only then: a reset that follows an orderly end, or is reported to a write, is not seen by a read.
/// Precondition: the connection has ended. Thread safety: the connection's task only.
bool hasEndedInOrder(bufferevent *connection);

} // namespace cowsliphead
