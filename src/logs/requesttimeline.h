#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cowsliphead
{

/// Merges the log lines about one request from the logs of one or more processes. Thread safety: owner task only.
class RequestTimeline
{
public:
    /// request is the identifier of a request, or the digest that the submissions of a request share.
    explicit RequestTimeline(std::string request);

    /// Adds a line of a log. Text before the JSON object is ignored, and so is a line that is not a log event.
    void add(const std::string &line);

    /// The lines as text in order of time, with the state changes of the same processes around them and a note if the end is missing.
    std::string toText() const;

    /// True if any line names the request.
    bool isKnown() const;

private:
    struct Line {
        std::int64_t time_ = 0;
        std::string instance_;
        std::string name_;
        std::string text_;
        bool isOfRequest_ = false;
    };

    bool isContextOf(const Line &context) const;

    std::string request_;
    std::vector<Line> lines_;
};

} // namespace cowsliphead
