#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Shows the progress of a run on standard error if that is a terminal. Thread safety: owner only.
class Progress
{
public:
    /// label: shown before the numbers.
    explicit Progress(std::string label);

    /// Ends the progress line.
    ~Progress();
    Progress(const Progress &) = delete;
    Progress &operator=(const Progress &) = delete;

    void show(std::uint64_t done, std::uint64_t total);

private:
    std::string label_;
    bool isTerminal_;
    bool isShown_ = false;
};

} // namespace cowsliphead
