#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace cowsliphead
{

/// One named value of a logged event.
struct LogField {
    std::string_view name_;
    std::variant<std::string, std::uint64_t> value_;
};

} // namespace cowsliphead
