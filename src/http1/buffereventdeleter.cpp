#include "http1/buffereventdeleter.h"

#include <event2/bufferevent.h>

namespace cowsliphead
{

void BufferEventDeleter::operator()(bufferevent *events) const
{
    bufferevent_free(events);
}

} // namespace cowsliphead
