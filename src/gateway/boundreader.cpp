#include "gateway/boundreader.h"

#include <charconv>
#include <sstream>

#include <nlohmann/json.hpp>

#include "core/errorcode.h"

namespace cowsliphead
{

namespace
{

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::chrono::milliseconds Shortest{ 1 };
constexpr std::chrono::milliseconds Longest = std::chrono::hours(24 * 366);

std::optional<double> numberOf(const nlohmann::json &value)
{
    if (value.is_number()) {
        return value.get<double>();
    }
    if (!value.is_string()) {
        return std::nullopt;
    }
    const auto &text = value.get_ref<const std::string &>();
    double number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::string textOf(double number)
{
    std::ostringstream text;
    text.precision(12);
    text << number;
    return text.str();
}

} // namespace

BoundReader::BoundReader(const nlohmann::json &object)
    : object_(object)
{
}

std::chrono::milliseconds BoundReader::milliseconds(const std::string &field, std::chrono::milliseconds fallback)
{
    return duration(field, fallback, std::chrono::milliseconds(1));
}

std::chrono::milliseconds BoundReader::seconds(const std::string &field, std::chrono::milliseconds fallback)
{
    return duration(field, fallback, std::chrono::seconds(1));
}

double BoundReader::number(const std::string &field, double fallback, double maximum)
{
    return find(field, 0, maximum).value_or(fallback);
}

const std::vector<InputError> &BoundReader::rejected() const
{
    return rejected_;
}

std::chrono::milliseconds BoundReader::duration(const std::string &field, std::chrono::milliseconds fallback, std::chrono::milliseconds unit)
{
    const Milliseconds exactUnit(unit);
    const auto count = find(field, Shortest / exactUnit, Longest / exactUnit);
    return count ? std::chrono::round<std::chrono::milliseconds>(*count * exactUnit) : fallback;
}

std::optional<double> BoundReader::find(const std::string &field, double minimum, double maximum)
{
    const auto found = object_.is_object() ? object_.find(field) : object_.end();
    if (found == object_.end()) {
        return std::nullopt;
    }
    const auto number = numberOf(*found);
    // Written so that a NaN is rejected.
    if (!number || !(*number >= minimum && *number <= maximum)) {
        rejected_.push_back(
            { make_error_code(ErrorCode::SettingsMalformed), "/" + field, found->dump(), "a number from " + textOf(minimum) + " to " + textOf(maximum) });
        return std::nullopt;
    }
    return number;
}

} // namespace cowsliphead
