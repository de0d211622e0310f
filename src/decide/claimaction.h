#pragma once

namespace cowsliphead
{

/// The store operation that a claim shard needs next.
enum class ClaimAction {
    Nothing, ///< None; wait.
    Read, ///< Read the shard's value.
    Write, ///< Write the shard's proposal if the stored value is still at the expected revision.
};

} // namespace cowsliphead
