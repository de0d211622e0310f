#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "decide/placement/enginecandidate.h"
#include "decide/placement/enginechoice.h"

namespace cowsliphead
{

struct EngineSpec;
struct PromptFacts;

/// Chooses the engine that reads a prompt: a home of its shared parts unless the homes' queues are long, otherwise the engine with the least
/// expected loss. homes: the number of engines that keep the parts. Nothing without candidates. Thread safety: any thread.
std::optional<EngineChoice>
chooseReader(const PromptFacts &prompt, std::vector<EngineCandidate> engines, const EngineSpec &spec, std::size_t homes, std::mt19937_64 &random);

/// The expected time at the engine with the least of it. homes: as for chooseReader(). Nothing without candidates. Thread safety: any thread.
std::optional<ExpectedTime> shortestExpectedTime(const PromptFacts &prompt, std::vector<EngineCandidate> engines, const EngineSpec &spec, std::size_t homes);

/// Chooses the engine that answers a prompt that was read elsewhere: of the engines with little load the first in the ranking for the shared
/// parts, so that it still holds the parts of earlier requests. Nothing without candidates. Thread safety: any thread.
std::optional<std::size_t> chooseAnswerer(std::uint64_t sharedParts, const std::vector<EngineCandidate> &engines);

} // namespace cowsliphead
