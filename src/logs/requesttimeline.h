#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cowsliphead
{

/// What the logs of one or more processes tell of a request.
class RequestTimeline
{
public:
    /// Thread safety: as any value type.
    explicit RequestTimeline(std::string request);

    /// Takes a line of a log; text before the JSON object is passed over. Thread safety: owner task only.
    void add(const std::string &line);

    /// The story in the order of time, with the state of the process around it and a note on what is missing. Thread safety: owner
    /// task only.
    std::string tell() const;

    /// True if any line names the request. Thread safety: owner task only.
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
