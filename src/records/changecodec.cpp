#include "records/changecodec.h"

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "core/parsejson.h"

namespace cowsliphead
{

namespace
{

constexpr const char *PutActionName = "put";
constexpr const char *WithdrawActionName = "withdraw";

} // namespace

std::string encodeChange(const Change &change)
{
    const nlohmann::json document = {
        { "change", change.changeId_.value() },
        { "action", change.action_ == ChangeAction::Put ? PutActionName : WithdrawActionName },
        { "kind", change.key_.kind_ },
        { "name", change.key_.name_ },
        { "text", change.text_ },
    };
    return document.dump();
}

Result<Change> decodeChange(Revision revision, const std::string &text)
{
    try {
        const auto document = parseJson(text);
        Change change;
        change.revision_ = revision;
        change.changeId_ = ChangeId(document.at("change").get<std::string>());
        change.action_ = document.at("action").get<std::string>() == WithdrawActionName ? ChangeAction::Withdraw : ChangeAction::Put;
        change.key_.kind_ = document.at("kind").get<std::string>();
        change.key_.name_ = document.at("name").get<std::string>();
        change.text_ = document.at("text").get<std::string>();
        return change;
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::CodecMalformed);
    }
}

} // namespace cowsliphead
