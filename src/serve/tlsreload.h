#pragma once

namespace cowsliphead
{

/// Asks the serving task to read its certificate and key files again; open connections keep the old ones.
struct TlsReload {
};

} // namespace cowsliphead
