#include "logs/requesttimeline.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace cowsliphead
{

namespace
{

/// A timeline includes the context events that a process logged within this time before or after one of its lines about the request.
/// In microseconds.
constexpr std::int64_t ContextWindow = 5000000;
/// Events that change the state or configuration of a process.
constexpr std::array<const char *, 9> ContextEvents{ "daemon_started",      "drain_started", "daemon_stopped",
                                                     "configuration_taken", "store_lost",    "store_regained",
                                                     "endpoint_leaves",     "duty_taken",    "duty_left" };

constexpr double MicrosecondsPerSecond = 1000000.0;
constexpr std::size_t MaxTimeLength = 32;

bool isIdentifier(const std::string &field)
{
    return field == "request" || field == "digest";
}

std::string fieldsToText(const nlohmann::json &document, const std::string &request)
{
    std::string text;
    for (const auto &[field, value] : document.items()) {
        const bool isRepeated = isIdentifier(field) && (value == request || (value.is_string() && value.get_ref<const std::string &>().empty()));
        if (field != "timeUs" && field != "level" && field != "event" && field != "name" && field != "instance" && !isRepeated) {
            text += " " + field + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

std::string formatSeconds(std::int64_t microseconds)
{
    std::array<char, MaxTimeLength> text{};
    std::snprintf(text.data(), text.size(), "%+9.3f s", static_cast<double>(microseconds) / MicrosecondsPerSecond);
    return text.data();
}

} // namespace

RequestTimeline::RequestTimeline(std::string request)
    : request_(std::move(request))
{
}

void RequestTimeline::add(const std::string &line)
{
    const auto begin = line.find('{');
    if (begin == std::string::npos) {
        return;
    }
    const auto document = nlohmann::json::parse(line.substr(begin), nullptr, false);
    if (!document.is_object() || !document.contains("timeUs") || !document.contains("name")) {
        return;
    }
    Line parsed;
    parsed.time_ = document.value("timeUs", std::int64_t(0));
    parsed.instance_ = document.value("instance", std::string());
    parsed.name_ = document.value("name", std::string());
    parsed.isOfRequest_ = document.value("request", std::string()) == request_ || document.value("digest", std::string()) == request_;
    const bool isContext = std::find(ContextEvents.begin(), ContextEvents.end(), parsed.name_) != ContextEvents.end() || parsed.name_ == "lines_omitted";
    if (parsed.isOfRequest_ || isContext) {
        parsed.text_ = fieldsToText(document, request_);
        lines_.push_back(std::move(parsed));
    }
}

bool RequestTimeline::isKnown() const
{
    return std::any_of(lines_.begin(), lines_.end(), [](const Line &line) { return line.isOfRequest_; });
}

bool RequestTimeline::isContextOf(const Line &context) const
{
    return std::any_of(lines_.begin(), lines_.end(), [&context](const Line &line) {
        return line.isOfRequest_ && line.instance_ == context.instance_ && std::abs(line.time_ - context.time_) <= ContextWindow;
    });
}

std::string RequestTimeline::toText() const
{
    if (!isKnown()) {
        return "no line names request " + request_ + ": it reached none of these processes, or it succeeded while the rate limit omitted lines\n";
    }
    std::vector<Line> selected;
    std::copy_if(lines_.begin(), lines_.end(), std::back_inserter(selected), [this](const Line &line) { return line.isOfRequest_ || isContextOf(line); });
    std::stable_sort(selected.begin(), selected.end(), [](const Line &left, const Line &right) { return left.time_ < right.time_; });
    const auto first = std::find_if(selected.begin(), selected.end(), [](const Line &line) { return line.isOfRequest_; })->time_;
    std::string text = "request " + request_ + "\n";
    bool hasEnd = false;
    for (const auto &line : selected) {
        hasEnd = hasEnd || (line.isOfRequest_ && line.name_ == "request_ended");
        text += formatSeconds(line.time_ - first) + (line.isOfRequest_ ? "  " : " (") + line.instance_ + " " + line.name_ + line.text_
            + (line.isOfRequest_ ? "\n" : ")\n");
    }
    if (!hasEnd) {
        text += "the end is missing: the process was killed, or its log was not given\n";
    }
    return text;
}

} // namespace cowsliphead
