#include "records/jsontext.h"

#include <algorithm>
#include <functional>

#include <nlohmann/json.hpp>

#include "core/jsonnestinglimit.h"

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
    using nlohmann::json;
    const auto mistake = [&](const std::string &place, const char *found) {
        return tl::unexpected(InputError{ make_error_code(code), place, found, "JSON, comments allowed" });
    };
    JsonNestingLimit limit;
    try {
        auto document = json::parse(text, std::ref(limit), true, true);
        if (limit.isExceeded()) {
            return mistake("/", "nesting that is too deep");
        }
        return document;
    } catch (const json::parse_error &error) {
        return mistake(describePosition(text, error.byte), "invalid JSON");
    } catch (const json::out_of_range &) {
        return mistake("/", "a number out of range");
    }
}

} // namespace cowsliphead
