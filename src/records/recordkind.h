#pragma once

#include <optional>
#include <string_view>

namespace cowsliphead
{

/// What operators can write and withdraw.
enum class RecordKind {
    Account,
    Key,
    Model,
    Adapter,
    Endpoint,
    Route,
    Policy,
    Pool,
};

/// The word for the kind in records and on the command line. Thread safety: any thread.
std::string_view recordKindName(RecordKind kind);

/// Nothing if there is no such kind. Thread safety: any thread.
std::optional<RecordKind> recordKindFromName(std::string_view name);

} // namespace cowsliphead
