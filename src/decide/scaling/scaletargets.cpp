#include "decide/scaling/scaletargets.h"

#include <algorithm>
#include <tuple>

namespace cowsliphead
{

namespace
{

/// Adds endpoints to the least numbers until the need is covered.
class TargetSearch
{
public:
    TargetSearch(const std::vector<ScaleDomain> &domains, const ScaleLimits &limits)
        : domains_(domains)
        , limits_(limits)
    {
        for (const auto &domain : domains) {
            const auto total = limits.floor(domain.original_);
            const auto kept = limits.keptBase(domain.original_);
            const auto missing = domain.hasReclaimable_ ? kept : total - std::min(total, domain.present_.reclaimable_);
            targets_.push_back({ total, std::clamp(missing, kept, std::max(kept, domain.original_)) });
        }
    }

    std::vector<ScaleTarget> cover(std::uint32_t needed)
    {
        while (survivors() < needed && (addReclaimable() || addBase())) { }
        return targets_;
    }

private:
    std::uint32_t reclaimable(std::size_t index) const
    {
        return targets_[index].total_ - targets_[index].base_;
    }

    std::uint32_t mostReclaimable() const
    {
        std::uint32_t most = 0;
        for (std::size_t index = 0; index < targets_.size(); ++index) {
            most = std::max(most, reclaimable(index));
        }
        return most;
    }

    /// Endpoints left after the worst loss.
    std::uint32_t survivors() const
    {
        std::uint32_t total = 0;
        for (const auto &target : targets_) {
            total += target.total_;
        }
        return total - mostReclaimable();
    }

    /// Adds a reclaimable endpoint where the fewest are, first to the cheapest domain. Returns false if none can be added or if they would all
    /// be added to one domain, where each one adds to the loss as well.
    bool addReclaimable()
    {
        std::vector<std::size_t> open;
        for (std::size_t index = 0; index < domains_.size(); ++index) {
            if (domains_[index].hasReclaimable_ && targets_[index].total_ < limits_.maxReplicas_) {
                open.push_back(index);
            }
        }
        const auto least = std::min_element(open.begin(), open.end(), [this](std::size_t left, std::size_t right) { return rank(left) < rank(right); });
        if (least == open.end() || (open.size() == 1 && reclaimable(*least) >= mostReclaimable())) {
            return false;
        }
        ++targets_[*least].total_;
        return true;
    }

    std::tuple<std::uint32_t, double, FailureDomain> rank(std::size_t index) const
    {
        return { reclaimable(index), domains_[index].price_, domains_[index].domain_ };
    }

    /// Adds a base endpoint, first to the cheapest domain.
    bool addBase()
    {
        std::size_t best = domains_.size();
        for (std::size_t index = 0; index < domains_.size(); ++index) {
            const bool isOpen = targets_[index].total_ < limits_.maxReplicas_ && targets_[index].base_ < domains_[index].original_;
            if (isOpen && (best == domains_.size() || domains_[index].price_ < domains_[best].price_)) {
                best = index;
            }
        }
        if (best == domains_.size()) {
            return false;
        }
        ++targets_[best].total_;
        ++targets_[best].base_;
        return true;
    }

    const std::vector<ScaleDomain> &domains_;
    const ScaleLimits &limits_;
    std::vector<ScaleTarget> targets_;
};

} // namespace

std::vector<ScaleTarget> scaleTargets(std::uint32_t needed, const std::vector<ScaleDomain> &domains, const ScaleLimits &limits)
{
    return TargetSearch(domains, limits).cover(needed);
}

} // namespace cowsliphead
