#include "logs/requesttimeline.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace cowsliphead
{

namespace
{

/// Events that change what a process believes; those within this time around a request are part of its story.
constexpr std::int64_t ContextMicroseconds = 5000000;
constexpr std::array<const char *, 9> ContextEvents{ "daemon_started",      "drain_started", "daemon_stopped",
                                                     "configuration_taken", "store_lost",    "store_regained",
                                                     "endpoint_leaves",     "duty_taken",    "duty_left" };

constexpr double MicrosecondsOfSecond = 1000000.0;
constexpr std::size_t LongestTime = 32;

std::string textOf(const nlohmann::json &document)
{
    std::string text;
    for (const auto &[field, value] : document.items()) {
        if (field != "timeUs" && field != "level" && field != "event" && field != "name" && field != "instance" && field != "request") {
            text += " " + field + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

std::string secondsOf(std::int64_t microseconds)
{
    std::array<char, LongestTime> text{};
    std::snprintf(text.data(), text.size(), "%+9.3f s", static_cast<double>(microseconds) / MicrosecondsOfSecond);
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
    Line read;
    read.time_ = document.value("timeUs", std::int64_t(0));
    read.instance_ = document.value("instance", std::string());
    read.name_ = document.value("name", std::string());
    read.isOfRequest_ = document.value("request", std::string()) == request_;
    const bool isContext = std::find(ContextEvents.begin(), ContextEvents.end(), read.name_) != ContextEvents.end() || read.name_ == "lines_omitted";
    if (read.isOfRequest_ || isContext) {
        read.text_ = textOf(document);
        lines_.push_back(std::move(read));
    }
}

bool RequestTimeline::isKnown() const
{
    return std::any_of(lines_.begin(), lines_.end(), [](const Line &line) { return line.isOfRequest_; });
}

bool RequestTimeline::isContextOf(const Line &context) const
{
    return std::any_of(lines_.begin(), lines_.end(), [&context](const Line &line) {
        return line.isOfRequest_ && line.instance_ == context.instance_ && std::abs(line.time_ - context.time_) <= ContextMicroseconds;
    });
}

std::string RequestTimeline::tell() const
{
    if (!isKnown()) {
        return "no line names request " + request_ + ": it reached none of these processes, or went well while routine lines were left out\n";
    }
    std::vector<Line> told;
    std::copy_if(lines_.begin(), lines_.end(), std::back_inserter(told), [this](const Line &line) { return line.isOfRequest_ || isContextOf(line); });
    std::stable_sort(told.begin(), told.end(), [](const Line &left, const Line &right) { return left.time_ < right.time_; });
    const auto first = std::find_if(told.begin(), told.end(), [](const Line &line) { return line.isOfRequest_; })->time_;
    std::string text = "request " + request_ + "\n";
    bool hasEnd = false;
    for (const auto &line : told) {
        hasEnd = hasEnd || (line.isOfRequest_ && line.name_ == "request_ended");
        text += secondsOf(line.time_ - first) + (line.isOfRequest_ ? "  " : " (") + line.instance_ + " " + line.name_ + line.text_
            + (line.isOfRequest_ ? "\n" : ")\n");
    }
    if (!hasEnd) {
        text += "the end is missing: its process was killed, or its log is not among these\n";
    }
    return text;
}

} // namespace cowsliphead
