#include "http/connectionend.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace cowsliphead
{

namespace
{

/// Bytes that the kernel has yet to send, or that the peer has not acknowledged.
int unacknowledgedBytes(int socket)
{
    int count = 0;
    return ioctl(socket, SIOCOUTQ, &count) == 0 ? count : 0;
}

int pendingError(int socket)
{
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : 0;
}

} // namespace

bool hasEndedInOrder(bufferevent *connection)
{
    const int socket = bufferevent_getfd(connection);
    return evbuffer_get_length(bufferevent_get_output(connection)) == 0 && unacknowledgedBytes(socket) == 0 && pendingError(socket) == 0;
}

} // namespace cowsliphead
