#pragma once

namespace cowsliphead
{

/// End the answer to the caller: it is whole.
struct CompleteStep {
};

} // namespace cowsliphead
