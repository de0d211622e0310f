#include "relay/failureupdates.h"

namespace cowsliphead
{

EndpointFailures FailureUpdates::take(const EndpointFailures &present, MonotonicTime now)
{
    std::erase_if(sent_, [now](const auto &item) { return now - item.second.at_ >= RepeatInterval; });
    EndpointFailures changed;
    for (const auto &failure : present) {
        const auto [sent, isNew] = sent_.try_emplace({ failure.endpoint_, failure.kind_ }, Sent{ failure.gateways_, now });
        const bool isDecisive = sent->second.gateways_ < DecisiveGateways && failure.gateways_ >= DecisiveGateways;
        if (isNew || isDecisive) {
            sent->second = { failure.gateways_, now };
            changed.push_back(failure);
        }
    }
    return changed;
}

} // namespace cowsliphead
