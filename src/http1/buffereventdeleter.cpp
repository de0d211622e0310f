#include "http1/buffereventdeleter.h"

#include <event2/bufferevent.h>

namespace cowsliphead
{

void BufferEventDeleter::operator()(bufferevent *bufferEvent) const
{
    bufferevent_free(bufferEvent);
}

} // namespace cowsliphead
