#include "bench/processusage.h"

#include <ctime>
#include <fstream>

#include <unistd.h>

namespace cowsliphead
{

namespace
{

std::ifstream openProcessFile(pid_t process, const char *name)
{
    return std::ifstream("/proc/" + std::to_string(process) + "/" + name);
}

Result<std::chrono::nanoseconds> readProcessorTime(pid_t process)
{
    clockid_t clock = 0;
    if (const int error = clock_getcpuclockid(process, &clock); error != 0) {
        return tl::unexpected(std::error_code(error, std::system_category()));
    }
    timespec time{};
    if (clock_gettime(clock, &time) != 0) {
        return tl::unexpected(std::error_code(errno, std::system_category()));
    }
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::uint64_t readResidentBytes(pid_t process)
{
    auto file = openProcessFile(process, "statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    file >> totalPages >> residentPages;
    return residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

void addTransferredBytes(pid_t process, ProcessUsage &usage)
{
    auto file = openProcessFile(process, "io");
    std::string name;
    std::uint64_t bytes = 0;
    while (file >> name >> bytes) {
        if (name == "rchar:") {
            usage.readBytes_ += bytes;
        } else if (name == "wchar:") {
            usage.writtenBytes_ += bytes;
        }
    }
}

} // namespace

ProcessUsage ProcessUsage::since(const ProcessUsage &earlier) const
{
    ProcessUsage difference = *this;
    difference.processorTime_ -= earlier.processorTime_;
    difference.readBytes_ -= earlier.readBytes_;
    difference.writtenBytes_ -= earlier.writtenBytes_;
    return difference;
}

std::map<std::string, double> ProcessUsage::values() const
{
    using Microseconds = std::chrono::duration<double, std::micro>;
    return { { "processorUs", Microseconds(processorTime_).count() },
             { "residentBytes", static_cast<double>(residentBytes_) },
             { "readBytes", static_cast<double>(readBytes_) },
             { "writtenBytes", static_cast<double>(writtenBytes_) } };
}

Result<ProcessUsage> readProcessUsage(const std::vector<pid_t> &processes)
{
    ProcessUsage usage;
    for (const auto process : processes) {
        const auto processorTime = readProcessorTime(process);
        if (!processorTime) {
            return tl::unexpected(processorTime.error());
        }
        usage.processorTime_ += *processorTime;
        usage.residentBytes_ += readResidentBytes(process);
        addTransferredBytes(process, usage);
    }
    return usage;
}

} // namespace cowsliphead
