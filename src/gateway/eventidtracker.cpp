#include "gateway/eventidtracker.h"

#include <utility>

#include "serve/eventtext.h"

namespace cowsliphead
{

namespace
{

constexpr std::string_view IdField = "id:";

/// A stream may begin with it; it is no part of the first line.
constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

} // namespace

void EventIdTracker::addEvents(std::string_view events)
{
    if (!events.empty() && !std::exchange(hasBegun_, true) && events.starts_with(ByteOrderMark)) {
        events.remove_prefix(ByteOrderMark.size());
    }
    while (!events.empty()) {
        auto line = eventtext::takeLine(events);
        if (!line.starts_with(IdField)) {
            continue;
        }
        line.remove_prefix(IdField.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        lastId_ = line;
    }
}

} // namespace cowsliphead
