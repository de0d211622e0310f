#include "scenarios/childprocess.h"

#include <array>
#include <csignal>
#include <cstdlib>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace cowsliphead::scenarios
{

namespace
{

constexpr std::chrono::seconds StartTimeout{ 30 };
constexpr int SignalExitBase = 128;
constexpr int OutputPipeCapacity = 4096;

int exitCodeFromStatus(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : SignalExitBase + WTERMSIG(status);
}

[[noreturn]] void execProgram(const std::vector<char *> &arguments, int input, int output)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(input, STDIN_FILENO);
    dup2(output, STDOUT_FILENO);
    if (std::getenv("COWSLIPHEAD_SCENARIO_LOG") == nullptr) {
        const int nullOutput = open("/dev/null", O_WRONLY | O_CLOEXEC);
        dup2(nullOutput, STDERR_FILENO);
    }
    execv(arguments.front(), arguments.data());
    _exit(127);
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &input)
{
    std::array<int, 2> inputPipe{};
    std::array<int, 2> outputPipe{};
    if (pipe2(inputPipe.data(), O_CLOEXEC) != 0 || pipe2(outputPipe.data(), O_CLOEXEC) != 0) {
        return;
    }
    // A small pipe buffer, so that a process that blocks on unread output shows up early.
    fcntl(outputPipe[1], F_SETPIPE_SZ, OutputPipeCapacity);
    start(program, arguments, inputPipe[0], outputPipe[1]);
    close(inputPipe[0]);
    close(outputPipe[1]);
    [[maybe_unused]] const auto written = write(inputPipe[1], input.data(), input.size());
    close(inputPipe[1]);
    output_ = outputPipe[0];
    readPort();
}

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const OutputFile &output)
{
    const int input = open("/dev/null", O_RDONLY | O_CLOEXEC);
    const int file = open(output.name_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    start(program, arguments, input, file);
    close(input);
    close(file);
}

void ChildProcess::start(const std::string &program, const std::vector<std::string> &arguments, int input, int output)
{
    std::vector<char *> pointers{ const_cast<char *>(program.c_str()) };
    for (const auto &argument : arguments) {
        pointers.push_back(const_cast<char *>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    pid_ = fork();
    if (pid_ == 0) {
        execProgram(pointers, input, output);
    }
}

ChildProcess::~ChildProcess()
{
    if (pid_ > 0 && !exitCode_) {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
    if (output_ >= 0) {
        close(output_);
    }
}

std::uint16_t ChildProcess::port() const
{
    return port_;
}

void ChildProcess::signal(int number) const
{
    if (pid_ > 0 && !exitCode_) {
        kill(pid_, number);
    }
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds limit)
{
    if (exitCode_) {
        return exitCode_;
    }
    const int descriptor = static_cast<int>(syscall(SYS_pidfd_open, pid_, 0));
    pollfd waiting{ descriptor, POLLIN, 0 };
    const bool hasEnded = poll(&waiting, 1, static_cast<int>(limit.count())) > 0;
    close(descriptor);
    if (!hasEnded) {
        return std::nullopt;
    }
    int status = 0;
    waitpid(pid_, &status, 0);
    exitCode_ = exitCodeFromStatus(status);
    return exitCode_;
}

void ChildProcess::readPort()
{
    std::string line;
    pollfd waiting{ output_, POLLIN, 0 };
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(StartTimeout);
    while (line.find('\n') == std::string::npos && poll(&waiting, 1, static_cast<int>(limit.count())) > 0) {
        std::array<char, 256> part{};
        const auto count = read(output_, part.data(), part.size());
        if (count <= 0) {
            return;
        }
        line.append(part.data(), static_cast<std::size_t>(count));
    }
    const auto document = nlohmann::json::parse(line, nullptr, false);
    if (document.is_object()) {
        port_ = document.value("port", std::uint16_t(0));
    }
}

} // namespace cowsliphead::scenarios
