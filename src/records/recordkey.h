#pragma once

#include <compare>
#include <string>

namespace cowsliphead
{

/// Kind and name of a record. The kind is text, because a newer program may know more kinds.
struct RecordKey {
    std::string kind_;
    std::string name_;

    auto operator<=>(const RecordKey &) const = default;
};

} // namespace cowsliphead
