#pragma once

#include <concepts>
#include <optional>

#include "decide/placement/expectedtime.h"
#include "gateway/placement.h"

namespace cowsliphead
{

/// Rules by which one request of a service is placed. Each member gets the endpoints that may still be chosen.
template <typename P>
concept EnginePlacement = requires(P rules, const P constRules, const placement::Candidates &candidates)
{
    /// True if the engine that answers should read a long prompt itself although there are engines for that.
    {
        constRules.readsLongPromptLocally(candidates)
        } -> std::same_as<bool>;

    /// Chooses the engine that reads a long prompt, and the one from which it fetches missing parts.
    {
        rules.chooseReader(candidates)
        } -> std::same_as<PrefillChoice>;

    /// Chooses the endpoint that runs a request whose prompt is short or was read elsewhere. Null without candidates.
    {
        rules.chooseAnswerer(candidates)
        } -> std::same_as<EndpointState *>;

    /// The engine that keeps the shared parts cached. Null without candidates.
    {
        constRules.primaryEngine(candidates)
        } -> std::same_as<const EndpointState *>;

    /// The time to the first event at the best candidate. Nothing if the rules do not estimate it.
    {
        constRules.expectedTime(candidates)
        } -> std::same_as<std::optional<ExpectedTime>>;
};

} // namespace cowsliphead
