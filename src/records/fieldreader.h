#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "core/errorcode.h"
#include "records/inputerror.h"

namespace cowsliphead
{

/// Reads and validates the fields of one JSON object. The reading functions return the fallback or an empty value for an absent or
/// invalid field and record an error for an invalid one; only the first error is kept, see firstError(). Thread safety: as any value type.
class FieldReader
{
public:
    /// pointer: JSON pointer of the object in its document. code: error code of all errors. Precondition: object outlives the reader.
    FieldReader(const nlohmann::json &object, std::string pointer, ErrorCode code);

    /// A required string that must not be empty.
    std::string text(const std::string &field);

    /// A string.
    std::string textOr(const std::string &field, std::string fallback);

    /// An integer from minimum to maximum.
    std::uint64_t numberOr(const std::string &field, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);

    /// A boolean.
    bool flagOr(const std::string &field, bool fallback);

    /// An integer number of milliseconds, at most 366 days.
    std::chrono::milliseconds millisecondsOr(const std::string &field, std::chrono::milliseconds fallback);

    /// An array of strings; empty if absent.
    std::vector<std::string> texts(const std::string &field);

    /// A nested object; null if absent.
    const nlohmann::json *object(const std::string &field);

    /// A nested array; null if absent.
    const nlohmann::json *list(const std::string &field);

    /// Reports an error if the object has a field that was never read. Precondition: all known fields have been read.
    void refuseUnknownFields();

    /// Records an error that the caller has found in a field, unless there is one already.
    void report(const std::string &field, std::string found, std::string expected);

    /// The first error, if there was one.
    const std::optional<InputError> &firstError() const;

    /// The JSON pointer of a field of the object.
    std::string pointerTo(const std::string &field) const;

private:
    const nlohmann::json *find(const std::string &field);

    const nlohmann::json &object_;
    std::string pointer_;
    ErrorCode code_;
    std::set<std::string> requestedFields_;
    std::optional<InputError> firstError_;
};

} // namespace cowsliphead
