#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http1/callerconnection.h"
#include "http1/listener.h"
#include "task/eventloop.h"

/// A stand-in for the platform's API for usage reports: refuses lower fencing numbers and notes reports that contradict each other.
class DutyServer
{
public:
    explicit DutyServer(cowsliphead::EventLoop &loop);
    ~DutyServer();
    DutyServer(const DutyServer &) = delete;
    DutyServer &operator=(const DutyServer &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    /// Windows that were reported with two different figures, or by two holders under one fencing number.
    const std::vector<std::string> &findings() const
    {
        return findings_;
    }

private:
    void accept(int socket);
    int take(const cowsliphead::CallerRequest &request);

    cowsliphead::EventLoop &loop_;
    std::map<std::uint64_t, std::unique_ptr<cowsliphead::CallerConnection>> connections_;
    std::uint64_t nextConnection_ = 0;
    std::uint64_t highestFence_ = 0;
    std::map<std::uint64_t, std::string> holders_;
    std::map<std::uint64_t, std::string> counts_;
    std::vector<std::string> findings_;
    cowsliphead::Listener listener_;
    std::uint16_t port_ = 0;
};
