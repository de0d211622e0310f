#include "http1/freebufferevent.h"

#include <event2/bufferevent.h>

namespace cowsliphead
{

void FreeBufferEvent::operator()(bufferevent *bufferEvent) const
{
    bufferevent_free(bufferEvent);
}

} // namespace cowsliphead
