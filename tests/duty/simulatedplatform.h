#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "core/errorcode.h"
#include "core/virtualclock.h"
#include "usage/usagereport.h"

namespace cowsliphead
{

/// Simulated platform that receives each usage report some time after it was sent, even if the sender has ended by then.
class SimulatedPlatform
{
public:
    explicit SimulatedPlatform(const VirtualClock &clock)
        : clock_(clock)
    {
    }

    void send(const UsageReport &report, std::chrono::milliseconds latency, std::function<void(bool)> onArrival)
    {
        inTransit_.push_back({ clock_.now() + latency, report, std::move(onArrival) });
    }

    void receiveArrivals()
    {
        for (auto &submission : std::exchange(inTransit_, {})) {
            if (submission.arrival_ > clock_.now()) {
                inTransit_.push_back(std::move(submission));
                continue;
            }
            if (!isDown_) {
                received_.push_back(submission.report_);
            }
            submission.onArrival_(!isDown_ && !losesAnswers_);
        }
    }

    const std::vector<UsageReport> &received() const
    {
        return received_;
    }

    void setFault(bool isDown, bool losesAnswers)
    {
        isDown_ = isDown;
        losesAnswers_ = losesAnswers;
    }

private:
    struct Submission {
        MonotonicTime arrival_;
        UsageReport report_;
        std::function<void(bool)> onArrival_;
    };

    const VirtualClock &clock_;
    std::vector<Submission> inTransit_;
    std::vector<UsageReport> received_;
    bool isDown_ = false;
    bool losesAnswers_ = false;
};

/// Connection of one process to the platform. Models ReportReceiver.
class PlatformLink
{
public:
    using Reply = std::function<void(Result<void>)>;

    PlatformLink(SimulatedPlatform &platform, std::chrono::milliseconds latency)
        : platform_(platform)
        , latency_(latency)
    {
    }

    void submit(const UsageReport &report, const Reply &reply)
    {
        platform_.send(report, latency_, [due = std::weak_ptr(due_), reply](bool isConfirmed) {
            if (const auto answers = due.lock()) {
                answers->push_back([reply, isConfirmed] { reply(isConfirmed ? Result<void>() : Result<void>(failure(ErrorCode::EndpointLost))); });
            }
        });
    }

    bool deliver()
    {
        const auto due = std::exchange(*due_, {});
        for (const auto &answer : due) {
            answer();
        }
        return !due.empty();
    }

private:
    SimulatedPlatform &platform_;
    std::chrono::milliseconds latency_;
    std::shared_ptr<std::deque<std::function<void()>>> due_ = std::make_shared<std::deque<std::function<void()>>>();
};

} // namespace cowsliphead
