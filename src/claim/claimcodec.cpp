#include "claim/claimcodec.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "core/parsejson.h"

namespace cowsliphead
{

namespace
{

constexpr int SchemaVersion = 1;

/// Rounds up, so that a release never appears older than it is.
std::int64_t toMilliseconds(WallTime time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

WallTime fromMilliseconds(std::int64_t count)
{
    return WallTime(std::chrono::milliseconds(count));
}

nlohmann::json entryToJson(const ClaimKey &key, const ClaimEntry &entry)
{
    auto fields = nlohmann::json::array(
        { key.value(), entry.fingerprint_, entry.owner_.incarnation_, entry.owner_.sequence_, static_cast<int>(entry.state_), toMilliseconds(entry.since_) });
    if (entry.answer_) {
        fields.push_back(entry.answer_->status_);
        fields.push_back(entry.answer_->contentType_);
        fields.push_back(entry.answer_->body_);
    }
    return fields;
}

ClaimState stateFrom(int number)
{
    const bool isKnown = number >= static_cast<int>(ClaimState::Claimed) && number <= static_cast<int>(ClaimState::Released);
    // A request in an unknown state may still be running.
    return isKnown ? static_cast<ClaimState>(number) : ClaimState::Claimed;
}

std::pair<ClaimKey, ClaimEntry> entryFromJson(const nlohmann::json &fields)
{
    ClaimEntry entry;
    std::size_t next = 1;
    fields.at(next++).get_to(entry.fingerprint_);
    fields.at(next++).get_to(entry.owner_.incarnation_);
    fields.at(next++).get_to(entry.owner_.sequence_);
    entry.state_ = stateFrom(fields.at(next++).get<int>());
    entry.since_ = fromMilliseconds(fields.at(next++).get<std::int64_t>());
    if (fields.size() > next) {
        auto &answer = entry.answer_.emplace();
        fields.at(next++).get_to(answer.status_);
        fields.at(next++).get_to(answer.contentType_);
        fields.at(next++).get_to(answer.body_);
    }
    return { ClaimKey(fields.at(0).get<std::string>()), std::move(entry) };
}

} // namespace

std::string encodeClaims(const ClaimTable &table)
{
    auto claims = nlohmann::json::array();
    for (const auto &[key, entry] : table.entries()) {
        claims.push_back(entryToJson(key, entry));
    }
    return nlohmann::json{ { "schema", SchemaVersion }, { "claims", std::move(claims) } }.dump();
}

Result<ClaimTable> decodeClaims(const std::string &text)
{
    try {
        const auto document = parseJson(text);
        if (document.at("schema").get<int>() != SchemaVersion) {
            return failure(ErrorCode::StoreAnswerMalformed);
        }
        ClaimTable::Entries entries;
        for (const auto &fields : document.at("claims")) {
            entries.insert(entryFromJson(fields));
        }
        return ClaimTable(std::move(entries));
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::StoreAnswerMalformed);
    }
}

bool isValidUtf8(const std::string &text)
{
    try {
        nlohmann::json(text).dump();
        return true;
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

} // namespace cowsliphead
