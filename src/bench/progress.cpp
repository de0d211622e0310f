#include "bench/progress.h"

#include <iostream>

#include <unistd.h>

namespace cowsliphead
{

Progress::Progress(std::string label)
    : label_(std::move(label))
    , isTerminal_(isatty(STDERR_FILENO) == 1)
{
}

Progress::~Progress()
{
    if (isShown_) {
        std::cerr << "\n";
    }
}

void Progress::show(std::uint64_t done, std::uint64_t total)
{
    if (isTerminal_) {
        std::cerr << "\r" << label_ << ": " << done << " of " << total << std::flush;
        isShown_ = true;
    }
}

} // namespace cowsliphead
