#include "serve/sseframer.h"

namespace cowsliphead
{

namespace
{

constexpr std::string_view DataField = "data:";
constexpr std::string_view EndingData = "[DONE]";

std::string_view dataOf(std::string_view line)
{
    auto data = line.substr(DataField.size());
    if (data.starts_with(' ')) {
        data.remove_prefix(1);
    }
    if (data.ends_with('\r')) {
        data.remove_suffix(1);
    }
    return data;
}

} // namespace

std::string_view SseFramer::add(std::string_view data)
{
    pending_.erase(0, emittedBytes_);
    emittedBytes_ = 0;
    pending_.append(data);
    auto end = findEndOfEvent(0);
    while (end != std::string::npos && !hasEnded_) {
        count(std::string_view(pending_).substr(emittedBytes_, end - emittedBytes_));
        emittedBytes_ = end;
        end = findEndOfEvent(end);
    }
    return std::string_view(pending_).substr(0, emittedBytes_);
}

void SseFramer::discardPartialEvent()
{
    pending_.clear();
    emittedBytes_ = 0;
}

std::uint64_t SseFramer::eventCount() const
{
    return eventCount_;
}

bool SseFramer::hasEnded() const
{
    return hasEnded_;
}

std::size_t SseFramer::findEndOfEvent(std::size_t from) const
{
    // An event ends with an empty line, terminated by LF or CRLF.
    auto lineStart = from;
    auto lineEnd = pending_.find('\n', lineStart);
    while (lineEnd != std::string::npos) {
        const auto line = std::string_view(pending_).substr(lineStart, lineEnd - lineStart);
        if (line.empty() || line == "\r") {
            return lineEnd + 1;
        }
        lineStart = lineEnd + 1;
        lineEnd = pending_.find('\n', lineStart);
    }
    return std::string::npos;
}

void SseFramer::count(std::string_view event)
{
    for (std::size_t start = 0; start < event.size(); start = event.find('\n', start) + 1) {
        const auto line = event.substr(start, event.find('\n', start) - start);
        if (!line.starts_with(DataField)) {
            continue;
        }
        hasEnded_ = dataOf(line) == EndingData;
        eventCount_ += hasEnded_ ? 0 : 1;
        return;
    }
}

} // namespace cowsliphead
