#pragma once

#include <nlohmann/json.hpp>

namespace cowsliphead
{

/// Callback of the JSON parser that leaves out what is nested too deeply: copying and formatting a document recurse. Thread safety: owner
/// task only.
class JsonNestingLimit
{
public:
    /// No document of the product is nested as deeply.
    static constexpr int MaxNesting = 64;

    bool operator()(int depth, nlohmann::json::parse_event_t /*event*/, const nlohmann::json & /*parsed*/)
    {
        isExceeded_ = isExceeded_ || depth > MaxNesting;
        return !isExceeded_;
    }

    /// True if the document was nested too deeply. Precondition: it was parsed.
    bool isExceeded() const
    {
        return isExceeded_;
    }

private:
    bool isExceeded_ = false;
};

} // namespace cowsliphead
