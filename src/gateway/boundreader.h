#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "records/inputerror.h"

namespace cowsliphead
{

/// Reads the bounds of a settings file: numbers, also with a fraction or an exponent, or texts that hold such a number. A value without a
/// meaning is never fatal: it is reported in rejected(), and the fallback is used. Thread safety: as any value type.
class BoundReader
{
public:
    /// Precondition: object outlives the reader.
    explicit BoundReader(const nlohmann::json &object);

    /// A duration in milliseconds, rounded to whole ones, from 1 ms to 366 days. Returns the fallback if the field is absent or rejected.
    std::chrono::milliseconds milliseconds(const std::string &field, std::chrono::milliseconds fallback);

    /// As milliseconds(), for a field in seconds.
    std::chrono::milliseconds seconds(const std::string &field, std::chrono::milliseconds fallback);

    /// A number from 0 to maximum. Returns the fallback if the field is absent or rejected.
    double number(const std::string &field, double fallback, double maximum);

    /// One error for each rejected field.
    const std::vector<InputError> &rejected() const;

private:
    std::optional<double> find(const std::string &field, double minimum, double maximum);
    std::chrono::milliseconds duration(const std::string &field, std::chrono::milliseconds fallback, std::chrono::milliseconds unit);

    const nlohmann::json &object_;
    std::vector<InputError> rejected_;
};

} // namespace cowsliphead
