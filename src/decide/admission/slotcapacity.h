#pragma once

#include <cstddef>

#include "core/time.h"
#include "decide/admission/concurrencylimit.h"

namespace cowsliphead
{

/// An AdmissionCapacity of slots that only one daemon uses, in a number that it finds out. Thread safety: owner task only.
class SlotCapacity
{
public:
    /// Precondition: slots is at least 1.
    explicit SlotCapacity(std::size_t slots)
        : limit_(slots)
    {
    }

    bool hasRoom(MonotonicTime /*now*/) const
    {
        return inFlight_ < limit_.limit();
    }

    bool isCertain(MonotonicTime /*now*/) const
    {
        return true;
    }

    void taken()
    {
        ++inFlight_;
    }

    /// Precondition: taken() was called for the request.
    void answered()
    {
        --inFlight_;
        limit_.accepted();
    }

    /// Precondition: as for answered().
    void failed(bool isFull)
    {
        --inFlight_;
        if (isFull) {
            limit_.refused();
        }
    }

private:
    ConcurrencyLimit limit_;
    std::size_t inFlight_ = 0;
};

} // namespace cowsliphead
