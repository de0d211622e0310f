#include "gateway/eventidtracker.h"

namespace cowsliphead
{

namespace
{

constexpr std::string_view IdField = "id:";

} // namespace

void EventIdTracker::addEvents(std::string_view events)
{
    std::size_t start = 0;
    while (start < events.size()) {
        const auto end = std::min(events.find('\n', start), events.size());
        auto line = events.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with(IdField)) {
            continue;
        }
        line.remove_prefix(IdField.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        lastId_ = line;
    }
}

} // namespace cowsliphead
