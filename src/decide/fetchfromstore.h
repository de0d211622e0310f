#pragma once

namespace cowsliphead
{

/// Ask the store for what follows the own revision.
struct FetchFromStore {
};

} // namespace cowsliphead
