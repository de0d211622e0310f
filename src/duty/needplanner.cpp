#include "duty/needplanner.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// Time between two reductions of a domain's planned number.
constexpr std::chrono::milliseconds ShrinkInterval{ 5000 };

/// A reduction takes at most this part of a domain's endpoints, so that the work of those that leave finds room at the others.
constexpr std::uint32_t ShrinkDivisor = 5;

/// The plan shrinks only if the target is lower by this part; smaller differences are scatter of the highest load.
constexpr std::uint32_t HysteresisDivisor = 10;

} // namespace

void NeedPlanner::addLoad(const ServiceName &service, const ScaleLoad &load, MonotonicTime now)
{
    services_[service].need_.add(load, now);
}

std::vector<ServerOrder> NeedPlanner::plan(const ServiceSpec &service, const std::vector<ScaleDomain> &domains, const StageCounts &stages, MonotonicTime now)
{
    const auto &scaling = *service.scaling_;
    const ScaleLimits limits{ scaling.minReplicas_, scaling.maxReplicas_ };
    auto &state = services_[service.name_];
    const auto load = state.need_.expected(scaling.bootTime_, now);
    const bool isCovered = state.need_.isCovered(now);
    state.hasCoveredNeed_ = state.hasCoveredNeed_ || isCovered;
    if (load) {
        state.needed_ = endpointsNeeded(*load, stages);
    }
    const auto targets = scaleTargets(state.needed_, domains, limits);
    std::vector<ServerOrder> wanted;
    for (std::size_t index = 0; index < domains.size(); ++index) {
        const auto &domain = domains[index];
        const Place place{ service.name_, domain.domain_ };
        auto &planned = planned_.try_emplace(place, domain.original_).first->second;
        const auto floor = limits.floor(domain.original_);
        if (!state.hasCoveredNeed_) {
            // The list of endpoints may have been incomplete when the first plan was made.
            planned = std::max(planned, domain.original_);
        }
        planned = std::clamp(planned, floor, scaling.maxReplicas_);
        adjust(place, targets[index].total_, isCovered, now);
        const auto kept = domain.hasReclaimable_ ? std::min(targets[index].base_, planned) : limits.keptBase(domain.original_);
        const auto base = presentBase(place, domain, kept);
        const auto room = scaling.maxReplicas_ - std::min(base, scaling.maxReplicas_);
        wanted.push_back({ service.name_, domain.domain_, true, std::min(planned - kept, room) });
        wanted.push_back({ service.name_, domain.domain_, false, base });
    }
    return wanted;
}

std::uint32_t NeedPlanner::needed(const ServiceName &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.needed_;
}

std::uint32_t NeedPlanner::plannedOf(const ServiceName &service, const FailureDomain &domain) const
{
    const auto found = planned_.find({ service, domain });
    return found == planned_.end() ? 0 : found->second;
}

void NeedPlanner::adjust(const Place &place, std::uint32_t target, bool isCovered, MonotonicTime now)
{
    auto &planned = planned_[place];
    auto &changedAt = domains_[place].changedAt_;
    if (target > planned) {
        planned = target;
        changedAt = now;
    } else if (isCovered && now - changedAt >= ShrinkInterval && target < planned
               && target + (planned + HysteresisDivisor - 1) / HysteresisDivisor <= planned) {
        planned = std::max(target, planned - std::max<std::uint32_t>(1, planned / ShrinkDivisor));
        changedAt = now;
    }
}

std::uint32_t NeedPlanner::presentBase(const Place &place, const ScaleDomain &domain, std::uint32_t target)
{
    auto &base = domains_[place].base_;
    base = std::max(base, domain.present_.base_);
    const auto planned = planned_[place];
    const auto missing = planned - std::min(planned, domain.present_.reclaimable_);
    const auto wanted = std::clamp(missing, target, std::max(target, domain.original_));
    if (wanted < base) {
        base = domain.present_.reclaimable_ > 0 ? wanted : base;
    } else if (!domain.hasReclaimable_) {
        base = wanted;
    } else {
        base = std::max(base, target);
    }
    return base;
}

void NeedPlanner::restore(const ScalePlan &planned)
{
    for (const auto &[place, count] : planned) {
        planned_[place] = count;
        services_[place.first].hasCoveredNeed_ = true;
    }
}

void NeedPlanner::reset()
{
    services_.clear();
    domains_.clear();
    planned_.clear();
}

} // namespace cowsliphead
