#include "usage/reportcodec.h"

#include <nlohmann/json.hpp>

#include "core/errorcode.h"

namespace cowsliphead::reportcodec
{

nlohmann::json reportToJson(const UsageReport &report)
{
    auto models = nlohmann::json::array();
    for (const auto &[model, figures] : report.models_) {
        models.push_back({
            { "model", model.value() },
            { "requests", figures.requests_ },
            { "cutOff", figures.cutOff_ },
            { "promptTokens", figures.promptTokens_ },
            { "answerTokens", figures.answerTokens_ },
        });
    }
    return { { "account", report.account_.value() }, { "window", report.window_ }, { "fencing", report.fencing_ }, { "models", models } };
}

Result<UsageReport> reportFromJson(const nlohmann::json &document)
{
    try {
        UsageReport report;
        report.account_ = AccountId(document.at("account").get<std::string>());
        document.at("window").get_to(report.window_);
        document.at("fencing").get_to(report.fencing_);
        for (const auto &line : document.at("models")) {
            auto &figures = report.models_[ModelId(line.at("model").get<std::string>())];
            line.at("requests").get_to(figures.requests_);
            line.at("cutOff").get_to(figures.cutOff_);
            line.at("promptTokens").get_to(figures.promptTokens_);
            line.at("answerTokens").get_to(figures.answerTokens_);
        }
        return report;
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::CodecMalformed);
    }
}

} // namespace cowsliphead::reportcodec
