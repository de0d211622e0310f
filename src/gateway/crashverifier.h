#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/time.h"
#include "decide/incarnationkey.h"
#include "decide/lifesign.h"
#include "gateway/incarnationquery.h"

namespace cowsliphead
{

class ClientConnection;
class EventLoop;
struct EndpointEntry;
class Timer;

/// Tells an incarnation of an endpoint that has crashed from one that only lost an answer, by asking the endpoint which one is running. That
/// something accepts connections at the address shows neither. Thread safety: the loop's task only.
class CrashVerifier
{
public:
    /// Precondition: the loop outlives the verifier.
    CrashVerifier(EventLoop &loop, IncarnationQuery query);
    ~CrashVerifier();
    CrashVerifier(const CrashVerifier &) = delete;
    CrashVerifier &operator=(const CrashVerifier &) = delete;

    /// Calls onAlive, in a later iteration of the loop, if the endpoint answers that this incarnation of it is running. Checks of one incarnation at the same
    /// time share the query.
    void verify(const EndpointEntry &endpoint, std::function<void(const LifeSign &)> onAlive);

private:
    /// As for a dispatch: ten times the longest round trip between failure domains.
    static constexpr std::chrono::milliseconds ConnectTimeout{ 300 };
    static constexpr std::chrono::milliseconds AnswerTimeout{ 500 };

    /// Limits what a faulty endpoint can make the gateway hold.
    static constexpr std::size_t MaxAnswerBytes = std::size_t(256) << 10U;

    struct Check {
        std::uint64_t incarnation_ = 0;
        std::shared_ptr<ClientConnection> connection_;
        std::unique_ptr<Timer> timeout_;
        MonotonicTime askedAt_;
        int status_ = 0;
        std::string body_;
        std::vector<std::function<void(const LifeSign &)>> onAlive_;
    };

    void ask(IncarnationKey incarnation, const EndpointEntry &endpoint);
    bool isSameIncarnation(const Check &check) const;
    void finish(IncarnationKey incarnation, bool isAnswered);

    EventLoop &loop_;
    IncarnationQuery query_;
    std::map<IncarnationKey, Check> checks_;
};

} // namespace cowsliphead
