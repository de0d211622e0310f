#pragma once

#include <string>

namespace cowsliphead::scenarios
{

/// Where a process writes its output.
struct OutputFile {
    std::string name_;
};

} // namespace cowsliphead::scenarios
