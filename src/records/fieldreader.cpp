#include "records/fieldreader.h"

#include <nlohmann/json.hpp>

namespace cowsliphead
{

FieldReader::FieldReader(const nlohmann::json &object, std::string pointer, ErrorCode code)
    : object_(object)
    , pointer_(std::move(pointer))
    , code_(code)
{
    if (!object_.is_object()) {
        firstError_ = InputError{ make_error_code(code_), pointer_.empty() ? "/" : pointer_, object_.type_name(), "an object" };
    }
}

std::string FieldReader::text(const std::string &field)
{
    auto value = textOr(field, {});
    if (value.empty()) {
        report(field, object_.is_object() && object_.contains(field) ? "an empty string" : "nothing", "a string");
    }
    return value;
}

std::string FieldReader::textOr(const std::string &field, std::string fallback)
{
    const auto *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string()) {
        report(field, value->dump(), "a string");
        return fallback;
    }
    return value->get<std::string>();
}

std::uint64_t FieldReader::numberOr(const std::string &field, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum)
{
    const auto *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    const bool isUnsigned = value->is_number_unsigned();
    if (!isUnsigned || value->get<std::uint64_t>() < minimum || value->get<std::uint64_t>() > maximum) {
        report(field, value->dump(), "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return value->get<std::uint64_t>();
}

bool FieldReader::flagOr(const std::string &field, bool fallback)
{
    const auto *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        report(field, value->dump(), "true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::chrono::milliseconds FieldReader::millisecondsOr(const std::string &field, std::chrono::milliseconds fallback)
{
    constexpr std::chrono::milliseconds Longest = std::chrono::hours(24 * 366);
    const auto count = numberOr(field, static_cast<std::uint64_t>(fallback.count()), 0, static_cast<std::uint64_t>(Longest.count()));
    return std::chrono::milliseconds(count);
}

std::vector<std::string> FieldReader::texts(const std::string &field)
{
    std::vector<std::string> found;
    const auto *value = list(field);
    if (value == nullptr) {
        return found;
    }
    for (const auto &element : *value) {
        if (!element.is_string()) {
            report(field, element.dump(), "an array of strings");
            return {};
        }
        found.push_back(element.get<std::string>());
    }
    return found;
}

const nlohmann::json *FieldReader::object(const std::string &field)
{
    const auto *value = find(field);
    if (value != nullptr && !value->is_object()) {
        report(field, value->dump(), "an object");
        return nullptr;
    }
    return value;
}

const nlohmann::json *FieldReader::list(const std::string &field)
{
    const auto *value = find(field);
    if (value != nullptr && !value->is_array()) {
        report(field, value->dump(), "an array");
        return nullptr;
    }
    return value;
}

void FieldReader::refuseUnknownFields()
{
    if (!object_.is_object()) {
        return;
    }
    for (const auto &[field, value] : object_.items()) {
        if (!requestedFields_.contains(field)) {
            report(field, "an unknown field", "one of the documented fields");
        }
    }
}

void FieldReader::report(const std::string &field, std::string found, std::string expected)
{
    if (!firstError_) {
        firstError_ = InputError{ make_error_code(code_), pointerTo(field), std::move(found), std::move(expected) };
    }
}

const std::optional<InputError> &FieldReader::firstError() const
{
    return firstError_;
}

std::string FieldReader::pointerTo(const std::string &field) const
{
    return pointer_ + "/" + field;
}

const nlohmann::json *FieldReader::find(const std::string &field)
{
    requestedFields_.insert(field);
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto found = object_.find(field);
    return found == object_.end() ? nullptr : &*found;
}

} // namespace cowsliphead
