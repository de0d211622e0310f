#pragma once

#include <chrono>

namespace cowsliphead
{

/// Makes a connection report within the time that its peer no longer acknowledges anything, also while no data flows.
/// Precondition: a TCP socket. Thread safety: any thread.
void detectSilence(int socket, std::chrono::milliseconds within);

} // namespace cowsliphead
