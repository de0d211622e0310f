#pragma once

#include <string>

#include "decide/suspectkey.h"

namespace cowsliphead
{

/// The suspect as 16 hexadecimal digits, for logs and keys. Thread safety: any thread.
std::string suspectText(SuspectKey suspect);

} // namespace cowsliphead
