#pragma once

#include <map>
#include <string>

#include "core/result.h"

namespace cowsliphead
{

/// What was measured at one size of one variable.
struct BenchPoint {
    /// The variable that was changed, for example "streamedToken".
    std::string series_;
    double size_ = 0;

    /// Measured values by name; a name ends in its unit.
    std::map<std::string, double> values_;

    /// One line of JSON. Thread safety: any thread.
    std::string toJson() const;

    /// Reads what toJson() gave. Errors: CodecMalformed. Thread safety: any thread.
    static Result<BenchPoint> fromJson(const std::string &line);
};

} // namespace cowsliphead
