#pragma once

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace review
{

using Steady = std::chrono::steady_clock;

// Writes what was sent, answered and run, with the time since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
    {
    }

    void add(const std::string &line)
    {
        char time[32];
        const std::lock_guard lock(mutex_);
        std::snprintf(time, sizeof time, "%9.3f ", std::chrono::duration<double>(Steady::now() - startedAt_).count());
        file_ << time << line << "\n" << std::flush;
    }

    double seconds() const
    {
        return std::chrono::duration<double>(Steady::now() - startedAt_).count();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Steady::time_point startedAt_ = Steady::now();
};

} // namespace review
