#include "bench/progress.h"

#include <iostream>

#include <unistd.h>

namespace cowsliphead
{

Progress::Progress(std::string what)
    : what_(std::move(what))
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
        std::cerr << "\r" << what_ << ": " << done << " of " << total << std::flush;
        isShown_ = true;
    }
}

} // namespace cowsliphead
