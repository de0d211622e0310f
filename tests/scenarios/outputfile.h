#pragma once

#include <string>

namespace cowsliphead::scenarios
{

/// The file that receives the standard output of a process.
struct OutputFile {
    std::string name_;
};

} // namespace cowsliphead::scenarios
