#pragma once

namespace cowsliphead
{

/// Ask the store for the changes after the daemon's own revision.
struct FetchFromStore {
};

} // namespace cowsliphead
