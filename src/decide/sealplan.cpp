#include "decide/sealplan.h"

#include <utility>

namespace cowsliphead
{

UsageLedger sealWindow(const UsageLedger &ledger, const std::map<std::string, UsageCounter> &counters, UsageWindow window)
{
    UsageLedger next;
    next.lastWindow_ = window;
    next.retired_ = ledger.retired_;
    next.pending_ = ledger.pending_;
    UsageSums running;
    for (const auto &[key, counter] : counters) {
        if (ledger.retiredCounters_.contains(key)) {
            next.retiredCounters_.insert(key);
        } else if (counter.isFrozen_ && counter.window_ <= window) {
            addUsage(next.retired_, counter.total_);
            next.retiredCounters_.insert(key);
        } else {
            addUsage(running, counter.through(window));
        }
    }
    addUsage(running, next.retired_);
    SealedWindow sealed{ window, usageDifference(running, ledger.sealed_) };
    next.sealed_ = ledger.sealed_;
    addUsage(next.sealed_, sealed.figures_);
    if (!sealed.figures_.empty()) {
        next.pending_.push_back(std::move(sealed));
    }
    return next;
}

UsageLedger confirmWindow(UsageLedger ledger)
{
    ledger.pending_.erase(ledger.pending_.begin());
    return ledger;
}

} // namespace cowsliphead
