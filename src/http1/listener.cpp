#include "http1/listener.h"

#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <event2/listener.h>
#include <event2/util.h>

#include "core/errorcode.h"
#include "core/socketport.h"
#include "http1/socketaddress.h"
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

/// Maximum number of connections waiting to be accepted while the process is busy; the kernel drops the SYN of any further one.
constexpr int Backlog = 1024;

} // namespace

Listener::Listener(EventLoop &loop, std::function<void(int)> onSocket)
    : loop_(loop)
    , onSocket_(std::move(onSocket))
{
}

Listener::~Listener() = default;

Result<std::uint16_t> Listener::listen(const SocketAddress &address)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port_);
    if (inet_pton(AF_INET, address.host_.c_str(), &name.sin_addr) != 1) {
        return failure(ErrorCode::ListenFailed);
    }
    const unsigned options = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC;
    listener_.reset(evconnlistener_new_bind(loop_.base(), &Listener::onAccepted, this, options, Backlog, reinterpret_cast<sockaddr *>(&name), sizeof name));
    if (!listener_) {
        return failure(ErrorCode::ListenFailed);
    }
    return portOfSocket(evconnlistener_get_fd(listener_.get()));
}

void Listener::onAccepted(evconnlistener * /*listener*/, int socket, sockaddr * /*peer*/, int /*length*/, void *self)
{
    evutil_make_socket_nonblocking(socket);
    static_cast<Listener *>(self)->onSocket_(socket);
}

void Listener::ListenerDeleter::operator()(evconnlistener *listener) const
{
    evconnlistener_free(listener);
}

} // namespace cowsliphead
