#include "standin/enginefaultreader.h"

#include <nlohmann/json.hpp>

#include "core/errorcode.h"

namespace cowsliphead
{

namespace
{

std::optional<std::uint32_t> optionalCount(const nlohmann::json &document, const char *name)
{
    const auto field = document.find(name);
    if (field == document.end()) {
        return std::nullopt;
    }
    return field->get<std::uint32_t>();
}

EngineFaults readFields(const nlohmann::json &document)
{
    EngineFaults faults;
    faults.crashAfterTokens_ = optionalCount(document, "crashAfterTokens");
    faults.downTime_ = std::chrono::milliseconds(document.value("downMs", static_cast<std::uint32_t>(faults.downTime_.count())));
    faults.silentAfterTokens_ = optionalCount(document, "silentAfterTokens");
    faults.truncations_ = document.value("truncations", faults.truncations_);
    faults.wrongIds_ = document.value("wrongIds", faults.wrongIds_);
    faults.crossesNextAnswers_ = document.value("cross", faults.crossesNextAnswers_);
    faults.lateSteps_ = document.value("lateSteps", faults.lateSteps_);
    faults.refusals_ = document.value("refusals", faults.refusals_);
    faults.ignoredResumes_ = document.value("ignoredResumes", faults.ignoredResumes_);
    faults.mutesOpenConnections_ = document.value("muteOpenConnections", false);
    faults.poisonText_ = document.value("poison", faults.poisonText_);
    return faults;
}

} // namespace

Result<EngineFaults> readEngineFaults(const std::string &body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return failure(ErrorCode::RequestMalformed);
    }
    try {
        return readFields(document);
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::RequestMalformed);
    }
}

} // namespace cowsliphead
