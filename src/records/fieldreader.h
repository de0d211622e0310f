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

/// Reads the fields of one JSON object and keeps the first firstError.
class FieldReader
{
public:
    /// Precondition: object outlives the reader. Thread safety: as any value type.
    FieldReader(const nlohmann::json &object, std::string pointer, ErrorCode code);

    /// Text that must be there and not be empty. Errors: kept, see firstError().
    std::string text(const std::string &field);

    /// Errors: kept, see firstError().
    std::string textOr(const std::string &field, std::string fallback);

    /// A whole number from minimum to maximum. Errors: kept, see firstError().
    std::uint64_t numberOr(const std::string &field, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);

    /// Errors: kept, see firstError().
    bool flagOr(const std::string &field, bool fallback);

    /// A whole number of milliseconds. Errors: kept, see firstError().
    std::chrono::milliseconds millisecondsOr(const std::string &field, std::chrono::milliseconds fallback);

    /// A list of texts; empty if absent. Errors: kept, see firstError().
    std::vector<std::string> texts(const std::string &field);

    /// A nested object; null if absent. Errors: kept, see firstError().
    const nlohmann::json *object(const std::string &field);

    /// A nested list; null if absent. Errors: kept, see firstError().
    const nlohmann::json *list(const std::string &field);

    /// Reports a field that nothing has asked for. Call after all fields are read. Errors: kept, see firstError().
    void refuseOthers();

    /// Reports a firstError of the caller's own finding. The first one reported is kept.
    void report(const std::string &field, std::string found, std::string expected);

    /// The first firstError, if there was one.
    const std::optional<InputError> &firstError() const;

    /// The JSON pointer of a field of the object.
    std::string pointerTo(const std::string &field) const;

private:
    const nlohmann::json *find(const std::string &field);

    const nlohmann::json &object_;
    std::string pointer_;
    ErrorCode code_;
    std::set<std::string> known_;
    std::optional<InputError> mistake_;
};

} // namespace cowsliphead
