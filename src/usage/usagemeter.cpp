#include "usage/usagemeter.h"

#include <nlohmann/json.hpp>

#include "core/parsejson.h"

namespace cowsliphead
{

namespace
{

constexpr std::size_t CharactersPerToken = 4;
constexpr std::string_view DataField = "data: ";

/// True if the event contains the field with a non-empty string. Searches the text instead of parsing the JSON, since there is one event per
/// token.
bool hasNonEmptyText(std::string_view event, std::string_view field)
{
    const auto found = event.find(field);
    if (found == std::string_view::npos) {
        return false;
    }
    const auto quote = event.find_first_not_of(' ', found + field.size());
    return quote != std::string_view::npos && event.substr(quote, 1) == "\"" && event.substr(quote + 1, 1) != "\"";
}

} // namespace

void UsageMeter::begin(std::size_t requestBytes)
{
    promptTokens_ = 1 + requestBytes / CharactersPerToken;
}

void UsageMeter::addStreamedData(std::string_view data)
{
    hasForwardedData_ = true;
    for (auto end = data.find('\n'); end != std::string_view::npos; end = data.find('\n')) {
        partialLine_.append(data.substr(0, end));
        processLine(partialLine_);
        partialLine_.clear();
        data.remove_prefix(end + 1);
    }
    partialLine_.append(data);
}

void UsageMeter::addWholeAnswer(const std::string &body)
{
    hasForwardedData_ = true;
    readEngineUsage(body);
}

bool UsageMeter::hasForwardedData() const
{
    return hasForwardedData_;
}

UsageFigures UsageMeter::figures(bool isCutOff) const
{
    return { 1, isCutOff ? 1U : 0U, promptTokens_, answerTokens_ };
}

void UsageMeter::processLine(std::string_view line)
{
    if (!line.starts_with(DataField)) {
        return;
    }
    const auto event = line.substr(DataField.size());
    if (!isReportedByEngine_ && (hasNonEmptyText(event, R"("content":)") || hasNonEmptyText(event, R"("text":)"))) {
        ++answerTokens_;
    }
    if (event.find(R"("usage")") != std::string_view::npos) {
        readEngineUsage(event);
    }
}

void UsageMeter::readEngineUsage(std::string_view document)
{
    const auto answer = parseJson(document);
    if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object()) {
        return;
    }
    const auto &usage = answer["usage"];
    const auto prompt = usage.value("prompt_tokens", nlohmann::json());
    const auto completion = usage.value("completion_tokens", nlohmann::json());
    if (prompt.is_number_unsigned() && completion.is_number_unsigned()) {
        promptTokens_ = prompt.get<std::uint64_t>();
        answerTokens_ = completion.get<std::uint64_t>();
        isReportedByEngine_ = true;
    }
}

} // namespace cowsliphead
