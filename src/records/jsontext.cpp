#include "records/jsontext.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cowsliphead
{

namespace
{

std::string describePosition(const std::string &text, std::size_t byte)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
    const auto line = 1 + std::count(text.begin(), end, '\n');
    const auto lineStart = std::find(std::make_reverse_iterator(end), text.rend(), '\n').base();
    return "line " + std::to_string(line) + ", column " + std::to_string(std::max<std::ptrdiff_t>(1, end - lineStart));
}

} // namespace

tl::expected<nlohmann::json, InputError> parseJsonText(const std::string &text, ErrorCode code)
{
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        return tl::unexpected(InputError{ make_error_code(code), describePosition(text, error.byte), "invalid JSON", "JSON, comments allowed" });
    }
}

} // namespace cowsliphead
