#include "usage/usagecodec.h"

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "core/parsejson.h"

namespace cowsliphead::usagecodec
{

nlohmann::json sumsToJson(const UsageSums &sums)
{
    auto lines = nlohmann::json::array();
    for (const auto &[subject, figures] : sums) {
        lines.push_back({ subject.account_.value(), subject.model_.value(), figures.requests_, figures.cutOff_, figures.promptTokens_, figures.answerTokens_ });
    }
    return lines;
}

UsageSums sumsFromJson(const nlohmann::json &document)
{
    UsageSums sums;
    for (const auto &line : document) {
        const UsageSubject subject{ AccountId(line.at(0).get<std::string>()), ModelId(line.at(1).get<std::string>()) };
        auto &figures = sums[subject];
        line.at(2).get_to(figures.requests_);
        line.at(3).get_to(figures.cutOff_);
        line.at(4).get_to(figures.promptTokens_);
        line.at(5).get_to(figures.answerTokens_);
    }
    return sums;
}

std::string encodeCounter(const UsageCounter &counter)
{
    const nlohmann::json document = {
        { "window", counter.window_ },
        { "earlier", sumsToJson(counter.earlier_) },
        { "total", sumsToJson(counter.total_) },
        { "frozen", counter.isFrozen_ },
    };
    return document.dump();
}

Result<UsageCounter> decodeCounter(const std::string &text)
{
    try {
        const auto document = parseJson(text);
        UsageCounter counter;
        document.at("window").get_to(counter.window_);
        counter.earlier_ = sumsFromJson(document.at("earlier"));
        counter.total_ = sumsFromJson(document.at("total"));
        document.at("frozen").get_to(counter.isFrozen_);
        return counter;
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::CodecMalformed);
    }
}

std::string encodeLedger(const UsageLedger &ledger)
{
    auto pending = nlohmann::json::array();
    for (const auto &sealed : ledger.pending_) {
        pending.push_back({ { "window", sealed.window_ }, { "figures", sumsToJson(sealed.figures_) } });
    }
    const nlohmann::json document = {
        { "lastWindow", ledger.lastWindow_ },
        { "sealed", sumsToJson(ledger.sealed_) },
        { "retired", sumsToJson(ledger.retired_) },
        { "retiredCounters", ledger.retiredCounters_ },
        { "pending", pending },
    };
    return document.dump();
}

Result<UsageLedger> decodeLedger(const std::string &text)
{
    try {
        const auto document = parseJson(text);
        UsageLedger ledger;
        document.at("lastWindow").get_to(ledger.lastWindow_);
        ledger.sealed_ = sumsFromJson(document.at("sealed"));
        ledger.retired_ = sumsFromJson(document.at("retired"));
        document.at("retiredCounters").get_to(ledger.retiredCounters_);
        for (const auto &sealed : document.at("pending")) {
            ledger.pending_.push_back({ sealed.at("window").get<UsageWindow>(), sumsFromJson(sealed.at("figures")) });
        }
        return ledger;
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::CodecMalformed);
    }
}

} // namespace cowsliphead::usagecodec
