#include "relay/quarantinecodec.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "core/parsejson.h"
#include "decide/crashregister.h"
#include "decide/suspecttext.h"

namespace cowsliphead::quarantinecodec
{

namespace
{

/// Crashes in one entry; the quarantine needs fewer.
constexpr std::size_t MaxSightings = 16;

nlohmann::json toJson(const CrashSighting &sighting)
{
    auto parts = nlohmann::json::array();
    for (const auto part : sighting.parts_) {
        parts.push_back(static_cast<std::uint64_t>(part));
    }
    return { { "endpoint", static_cast<std::uint64_t>(sighting.endpoint_) },
             { "request", static_cast<std::uint64_t>(sighting.request_) },
             { "parts", std::move(parts) },
             { "heldMs", sighting.held_.count() },
             { "ageMs", sighting.age_.count() } };
}

bool isNumber(const nlohmann::json &object, const char *field)
{
    return object.contains(field) && object[field].is_number_unsigned();
}

/// The time in a field, at most the longest one that means something.
std::chrono::milliseconds timeIn(const nlohmann::json &object, const char *field)
{
    constexpr std::uint64_t Longest = std::chrono::milliseconds(CrashRegister::Lifetime).count();
    return std::chrono::milliseconds(std::min(object[field].get<std::uint64_t>(), Longest));
}

Result<CrashSighting> fromJson(const nlohmann::json &object)
{
    const bool isValid = object.is_object() && isNumber(object, "endpoint") && isNumber(object, "request") && isNumber(object, "heldMs")
        && isNumber(object, "ageMs") && object.contains("parts") && object["parts"].is_array();
    if (!isValid) {
        return failure(ErrorCode::CodecMalformed);
    }
    CrashSighting sighting;
    sighting.endpoint_ = IncarnationKey(object["endpoint"].get<std::uint64_t>());
    sighting.request_ = SuspectKey(object["request"].get<std::uint64_t>());
    sighting.held_ = timeIn(object, "heldMs");
    sighting.age_ = timeIn(object, "ageMs");
    for (const auto &part : object["parts"]) {
        if (!part.is_number_unsigned()) {
            return failure(ErrorCode::CodecMalformed);
        }
        sighting.parts_.push_back(SuspectKey(part.get<std::uint64_t>()));
    }
    return sighting;
}

} // namespace

std::string keyOf(SuspectKey suspect)
{
    return Prefix + suspectText(suspect);
}

std::string toText(const std::vector<CrashSighting> &evidence)
{
    auto crashes = nlohmann::json::array();
    for (const auto &sighting : evidence) {
        if (crashes.size() < MaxSightings) {
            crashes.push_back(toJson(sighting));
        }
    }
    return nlohmann::json{ { "crashes", std::move(crashes) } }.dump();
}

Result<CrashReports> fromEntry(const StoreEntry &entry)
{
    const auto document = parseJson(entry.value_);
    const bool isValid = document.is_object() && document.contains("crashes") && document["crashes"].is_array() && document["crashes"].size() <= MaxSightings;
    if (!isValid) {
        return failure(ErrorCode::CodecMalformed);
    }
    CrashReports reports;
    for (const auto &crash : document["crashes"]) {
        auto sighting = fromJson(crash);
        if (!sighting) {
            return failure(ErrorCode::CodecMalformed);
        }
        reports.sightings_.push_back(std::move(*sighting));
    }
    return reports;
}

} // namespace cowsliphead::quarantinecodec
