#pragma once

#include <map>
#include <string>

#include "core/result.h"

namespace cowsliphead
{

/// The values measured at one setting of the varied parameter.
struct BenchPoint {
    /// Name of the varied parameter, for example "streamedToken".
    std::string series_;

    /// Value of the varied parameter.
    double size_ = 0;

    /// Measured values by name; a name ends in its unit.
    std::map<std::string, double> values_;

    /// The point as one line of JSON. Thread safety: any thread.
    std::string toJson() const;

    /// Parses the output of toJson(). Errors: CodecMalformed. Thread safety: any thread.
    static Result<BenchPoint> fromJson(const std::string &line);
};

} // namespace cowsliphead
