#pragma once

#include <cstddef>

namespace cowsliphead
{

/// Limits the requests that one daemon has in flight at the endpoints of one target. The limit increases additively while requests
/// are answered and decreases multiplicatively when one is refused. Thread safety: owner task only.
class ConcurrencyLimit
{
public:
    /// Precondition: maximum is at least 1.
    explicit ConcurrencyLimit(std::size_t maximum);

    /// The number of the endpoints' slots has changed. Precondition: maximum is at least 1.
    void setMaximum(std::size_t maximum);

    /// A request was accepted and answered.
    void accepted();

    /// An endpoint refused a request because it had no capacity.
    void refused();

    /// Never below 1.
    std::size_t limit() const;

private:
    double limit_;
    std::size_t maximum_;
};

} // namespace cowsliphead
