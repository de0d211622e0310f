#pragma once

#include <cstddef>

namespace cowsliphead
{

/// How many requests one daemon keeps at the endpoints of one target: grows while they are taken, shrinks when they are refused.
class ConcurrencyLimit
{
public:
    /// Precondition: highest is at least 1. Thread safety: owner task only.
    explicit ConcurrencyLimit(std::size_t highest);

    /// The endpoints' slots have changed. Precondition: highest is at least 1. Thread safety: owner task only.
    void setHighest(std::size_t highest);

    /// A request was taken and answered. Thread safety: owner task only.
    void accepted();

    /// An endpoint refused a request for want of room. Thread safety: owner task only.
    void refused();

    /// Never below 1. Thread safety: owner task only.
    std::size_t limit() const;

private:
    double limit_;
    std::size_t highest_;
};

} // namespace cowsliphead
