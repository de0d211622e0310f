#include "gateway/streamrelay.h"

#include <utility>

#include "http1/callerconnection.h"
#include "http1/connectionheaders.h"
#include "http1/responsehead.h"

namespace cowsliphead
{

StreamRelay::StreamRelay(CallerConnection &connection)
    : connection_(connection)
{
}

void StreamRelay::begin(const ResponseHead &head)
{
    if (!std::exchange(hasBegun_, true)) {
        connection_.beginAnswer(head.status_, head.reason_, endToEndHeaders(head.headers_));
    }
}

StreamProgress StreamRelay::forward(std::string_view data)
{
    const auto events = framer_.add(data);
    eventIds_.addEvents(events);
    connection_.sendBodyData(events);
    partialBytes_ = partialBytes_ + data.size() - events.size();
    if (partialBytes_ > MaxEventBytes) {
        return StreamProgress::Oversized;
    }
    if (connection_.isCongested()) {
        return StreamProgress::Congested;
    }
    return events.empty() ? StreamProgress::Partial : StreamProgress::Event;
}

void StreamRelay::discardPartialEvent()
{
    framer_.discardPartialEvent();
    partialBytes_ = 0;
}

bool StreamRelay::hasBegun() const
{
    return hasBegun_;
}

bool StreamRelay::hasPartialEvent() const
{
    return partialBytes_ > 0;
}

const std::string &StreamRelay::lastEventId() const
{
    return eventIds_.lastId();
}

} // namespace cowsliphead
