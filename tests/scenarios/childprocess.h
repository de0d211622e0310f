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

/// One process of the program under test. It is killed when the object goes, and when the test program dies.
class ChildProcess
{
public:
    /// Starts the program with the arguments and writes input to its standard input. Its first line of output tells its port.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &input);

    /// Starts the program with the arguments; its output goes to the end of a file, and port() is not known.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const OutputFile &output);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// 0 if the process ended before it told its port.
    std::uint16_t port() const;

    /// Sends a signal: SIGSTOP pauses, SIGCONT resumes, SIGKILL kills, SIGTERM asks to stop.
    void signal(int number) const;

    /// The exit code, or 128 and the signal's number, once the process has ended; nothing if the limit passes first.
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
