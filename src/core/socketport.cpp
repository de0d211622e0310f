#include "core/socketport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace cowsliphead
{

std::uint16_t portOfSocket(int descriptor)
{
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    if (getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        return 0;
    }
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6 *>(&address)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in *>(&address)->sin_port);
}

} // namespace cowsliphead
