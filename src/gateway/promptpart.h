#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// A part of a prompt that other prompts may share.
struct PromptPart {
    std::string id_;
    std::uint64_t tokens_ = 0;
};

} // namespace cowsliphead
