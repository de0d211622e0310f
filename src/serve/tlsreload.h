#pragma once

namespace cowsliphead
{

/// Asks the serving task to reload its certificate and key files; open connections keep the old ones.
struct TlsReload {
};

} // namespace cowsliphead
