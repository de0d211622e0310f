#include "serve/promptparts.h"

#include <algorithm>

#include "core/parsejson.h"
#include "decide/crashkeys.h"

namespace cowsliphead
{

std::vector<SuspectKey> sharedPromptParts(const std::string &body)
{
    /// Limits what crashes under a long conversation occupy.
    constexpr std::size_t MaxParts = 32;
    const auto document = parseJson(body);
    if (!document.is_object() || !document.contains("messages") || !document["messages"].is_array()) {
        return {};
    }
    const auto &messages = document["messages"];
    const auto shared = std::min(messages.size(), MaxParts + 1);
    std::vector<SuspectKey> parts;
    for (std::size_t index = 0; index + 1 < shared; ++index) {
        parts.push_back(crashkeys::ofPart(messages[index].dump()));
    }
    return parts;
}

} // namespace cowsliphead
