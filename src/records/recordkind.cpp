#include "records/recordkind.h"

#include <array>
#include <utility>

namespace cowsliphead
{

namespace
{

constexpr std::array<std::pair<RecordKind, std::string_view>, 8> KindNames{ {
    { RecordKind::Account, "account" },
    { RecordKind::Key, "key" },
    { RecordKind::Model, "model" },
    { RecordKind::Adapter, "adapter" },
    { RecordKind::Endpoint, "endpoint" },
    { RecordKind::Route, "route" },
    { RecordKind::Policy, "policy" },
    { RecordKind::Pool, "pool" },
} };

}

std::string_view recordKindName(RecordKind kind)
{
    for (const auto &[candidate, name] : KindNames) {
        if (candidate == kind) {
            return name;
        }
    }
    return "unknown";
}

std::optional<RecordKind> recordKindFromName(std::string_view name)
{
    for (const auto &[kind, candidate] : KindNames) {
        if (candidate == name) {
            return kind;
        }
    }
    return std::nullopt;
}

} // namespace cowsliphead
