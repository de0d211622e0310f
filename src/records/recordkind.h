#pragma once

#include <optional>
#include <string_view>

namespace cowsliphead
{

/// The kinds of records that operators can write and withdraw.
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

/// The kind's name in records and on the command line. Thread safety: any thread.
std::string_view recordKindName(RecordKind kind);

/// The kind with this name; nothing if there is none. Thread safety: any thread.
std::optional<RecordKind> recordKindFromName(std::string_view name);

} // namespace cowsliphead
