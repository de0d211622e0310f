#include "http1/freebufferevent.h"

#include <event2/bufferevent.h>

namespace cowsliphead
{

void FreeBufferEvent::operator()(bufferevent *events) const
{
    bufferevent_free(events);
}

} // namespace cowsliphead
