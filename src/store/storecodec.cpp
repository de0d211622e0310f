#include "store/storecodec.h"

#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/errorcode.h"

namespace cowsliphead::storecodec
{

nlohmann::json writeToJson(const StoreWrite &write)
{
    auto guards = nlohmann::json::array();
    for (const auto &guard : write.guards_) {
        guards.push_back({ { "key", guard.key_ }, { "revision", guard.revision_.number_ } });
    }
    return {
        { "key", write.key_ },       { "value", write.value_ },       { "expected", write.expectedRevision_.number_ }, { "lease", write.lease_.value() },
        { "erase", write.isErase_ }, { "guards", std::move(guards) },
    };
}

Result<StoreWrite> writeFromJson(const nlohmann::json &document)
{
    try {
        StoreWrite write;
        document.at("key").get_to(write.key_);
        document.at("value").get_to(write.value_);
        write.expectedRevision_ = document.at("expected").get<std::uint64_t>();
        write.lease_ = LeaseId(document.at("lease").get<std::string>());
        document.at("erase").get_to(write.isErase_);
        for (const auto &guard : document.value("guards", nlohmann::json::array())) {
            write.guards_.push_back({ guard.at("key").get<std::string>(), guard.at("revision").get<std::uint64_t>() });
        }
        return write;
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::StoreAnswerMalformed);
    }
}

nlohmann::json entryToJson(const StoreEntry &entry)
{
    return {
        { "key", entry.key_ },
        { "value", entry.value_ },
        { "revision", entry.revision_.number_ },
        { "erased", entry.isErased_ },
    };
}

Result<StoreEntry> entryFromJson(const nlohmann::json &document)
{
    try {
        StoreEntry entry;
        document.at("key").get_to(entry.key_);
        document.at("value").get_to(entry.value_);
        entry.revision_ = document.at("revision").get<std::uint64_t>();
        document.at("erased").get_to(entry.isErased_);
        return entry;
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::StoreAnswerMalformed);
    }
}

nlohmann::json entriesToJson(const std::vector<StoreEntry> &entries)
{
    auto list = nlohmann::json::array();
    for (const auto &entry : entries) {
        list.push_back(entryToJson(entry));
    }
    return list;
}

Result<std::vector<StoreEntry>> entriesFromJson(const nlohmann::json &document)
{
    if (!document.is_array()) {
        return failure(ErrorCode::StoreAnswerMalformed);
    }
    std::vector<StoreEntry> entries;
    for (const auto &element : document) {
        auto entry = entryFromJson(element);
        if (!entry) {
            return tl::unexpected(entry.error());
        }
        entries.push_back(std::move(*entry));
    }
    return entries;
}

nlohmann::json watchToJson(const WatchAnswer &answer)
{
    return { { "entries", entriesToJson(answer.entries_) }, { "revision", answer.revision_.number_ } };
}

Result<WatchAnswer> watchFromJson(const nlohmann::json &document)
{
    if (!document.is_object() || !document.contains("entries") || !document.contains("revision") || !document["revision"].is_number_unsigned()) {
        return failure(ErrorCode::StoreAnswerMalformed);
    }
    auto entries = entriesFromJson(document["entries"]);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    return WatchAnswer{ std::move(*entries), document["revision"].get<std::uint64_t>() };
}

} // namespace cowsliphead::storecodec
