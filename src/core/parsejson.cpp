#include "core/parsejson.h"

#include <functional>

#include "core/jsonnestinglimit.h"

namespace cowsliphead
{

nlohmann::json parseJson(std::string_view text)
{
    JsonNestingLimit limit;
    auto document = nlohmann::json::parse(text, std::ref(limit), false);
    return limit.isExceeded() ? nlohmann::json(nlohmann::json::value_t::discarded) : document;
}

} // namespace cowsliphead
