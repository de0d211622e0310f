#pragma once

namespace cowsliphead
{

/// What a change does to a record.
enum class ChangeAction {
    Put,
    Withdraw,
};

} // namespace cowsliphead
