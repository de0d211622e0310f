#pragma once

namespace cowsliphead
{

/// End the response to the caller: it is complete.
struct CompleteStep {
};

} // namespace cowsliphead
