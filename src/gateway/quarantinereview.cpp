#include "gateway/quarantinereview.h"

#include <random>
#include <set>
#include <utility>

#include "gateway/endpointsurvival.h"
#include "gateway/gatewaycontext.h"

namespace cowsliphead
{

QuarantineReview::QuarantineReview(GatewayContext &context)
    : context_(context)
    , timer_(context.loop_, [this] { ask(); })
{
}

QuarantineReview::~QuarantineReview() = default;

void QuarantineReview::update()
{
    if (!isScheduled_ && !context_.crashes_.quarantined(context_.clock_.now()).empty()) {
        isScheduled_ = true;
        timer_.startOnce(std::chrono::milliseconds(std::uniform_int_distribution(MinInterval.count(), MaxInterval.count())(context_.random_)));
    }
}

void QuarantineReview::ask()
{
    isScheduled_ = false;
    const auto now = context_.clock_.now();
    std::set<IncarnationKey> crashed;
    for (const auto suspect : context_.crashes_.quarantined(now)) {
        for (const auto &sighting : context_.crashes_.evidenceAgainst(suspect, now)) {
            if (sighting.age_ >= MinCrashAge) {
                crashed.insert(sighting.endpoint_);
            }
        }
    }
    std::erase_if(queries_, [&crashed](const auto &item) { return !crashed.contains(item.first); });
    for (const auto incarnation : crashed) {
        const auto state = context_.endpoints_.findIncarnation(incarnation);
        if (state && queries_[incarnation]++ < MaxQueries) {
            endpointsurvival::verify(context_, state->entry_);
        }
    }
    update();
}

} // namespace cowsliphead
