#include "fleet/gatewaycensus.h"

#include "usage/usagecountkeys.h"

namespace cowsliphead
{

GatewayCensus::GatewayCensus(std::chrono::milliseconds presence)
    : presence_(presence)
{
}

void GatewayCensus::written(const std::string &key, MonotonicTime now)
{
    if (!key.starts_with(usagecountkeys::CountsPrefix)) {
        return;
    }
    seenAt_[key.substr(key.rfind('/') + 1)] = now;
}

std::size_t GatewayCensus::count(MonotonicTime now)
{
    std::erase_if(seenAt_, [this, now](const auto &item) { return now - item.second > presence_; });
    return seenAt_.size();
}

} // namespace cowsliphead
