#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Shows on standard error how far a run is, if that is a terminal.
class Progress
{
public:
    explicit Progress(std::string what);

    /// Ends the line. Thread safety: owner only.
    ~Progress();
    Progress(const Progress &) = delete;
    Progress &operator=(const Progress &) = delete;

    /// Thread safety: owner only.
    void show(std::uint64_t done, std::uint64_t total);

private:
    std::string what_;
    bool isTerminal_;
    bool isShown_ = false;
};

} // namespace cowsliphead
