#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "scenarios/outputfile.h"

namespace cowsliphead::scenarios
{

/// One process of the program under test. It is killed by the destructor, and by the kernel when the test program ends.
class ChildProcess
{
public:
    /// Starts the program, writes input to its standard input and reads port() from the JSON object on its first line of output.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &input);

    /// Starts the program and appends its standard output to a file. port() stays 0.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const OutputFile &output);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// 0 if the process did not print a port.
    std::uint16_t port() const;

    /// Sends a signal. Does nothing once waitForExit() has returned an exit code.
    void signal(int number) const;

    /// Returns the exit code, or 128 plus the signal's number if a signal ended the process; nothing if it still runs after the limit.
    std::optional<int> waitForExit(std::chrono::milliseconds limit);

private:
    void start(const std::string &program, const std::vector<std::string> &arguments, int input, int output);
    void readPort();

    pid_t pid_ = 0;
    int output_ = -1;
    std::uint16_t port_ = 0;
    std::optional<int> exitCode_;
};

} // namespace cowsliphead::scenarios
