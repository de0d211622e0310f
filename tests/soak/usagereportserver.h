#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http1/callerconnection.h"
#include "http1/listener.h"
#include "task/eventloop.h"

/// A stand-in for the platform's API for usage reports. Refuses a fencing number lower than the highest seen and records contradicting reports.
class UsageReportServer
{
public:
    explicit UsageReportServer(cowsliphead::EventLoop &loop);
    ~UsageReportServer();
    UsageReportServer(const UsageReportServer &) = delete;
    UsageReportServer &operator=(const UsageReportServer &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    /// One line for each window reported with different counts and for each fencing number used by two holders.
    const std::vector<std::string> &violations() const
    {
        return violations_;
    }

private:
    void accept(int socket);
    int handleReport(const cowsliphead::CallerRequest &request);

    cowsliphead::EventLoop &loop_;
    std::map<std::uint64_t, std::unique_ptr<cowsliphead::CallerConnection>> connections_;
    std::uint64_t lastConnectionNumber_ = 0;
    std::uint64_t highestFencingNumber_ = 0;
    std::map<std::uint64_t, std::string> holderOfFencingNumber_;
    std::map<std::uint64_t, std::string> countsOfWindow_;
    std::vector<std::string> violations_;
    cowsliphead::Listener listener_;
    std::uint16_t port_ = 0;
};
