#pragma once

namespace cowsliphead
{

/// Claim the request's idempotency key in the store.
struct ClaimStep {
};

} // namespace cowsliphead
