#pragma once

namespace cowsliphead
{

/// What a shard of claims wants of the store next.
enum class ClaimAction {
    Nothing, ///< Wait.
    Read, ///< Read the shard's value.
    Write, ///< Write the shard's proposal if the value still stands at the expected revision.
};

} // namespace cowsliphead
