#pragma once

#include <set>
#include <vector>

#include "decide/suspectkey.h"

namespace cowsliphead
{

/// Logs which suspects are quarantined, and which are released. Thread safety: owner task only.
class QuarantineLog
{
public:
    /// suspects: all that are quarantined now, in order.
    void update(const std::vector<SuspectKey> &suspects);

private:
    std::set<SuspectKey> logged_;
};

} // namespace cowsliphead
