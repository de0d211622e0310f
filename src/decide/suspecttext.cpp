#include "decide/suspecttext.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace cowsliphead
{

std::string suspectText(SuspectKey suspect)
{
    constexpr std::size_t Digits = 16;
    std::array<char, Digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, static_cast<std::uint64_t>(suspect));
    return text.data();
}

} // namespace cowsliphead
