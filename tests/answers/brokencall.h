#pragma once

#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <system_error>

#include <boost/test/unit_test.hpp>

#include "answers/brokenanswers.h"
#include "core/errorcode.h"
#include "core/result.h"
#include "gateway/rawendpoint.h"
#include "task/eventloop.h"

namespace cowsliphead
{

/// Calls to servers that give broken answers, through a client that answers with a Result<T>.
template <typename T>
class BrokenCall
{
public:
    using Reply = std::function<void(Result<T>)>;

    /// Makes the call with a new client of the server at this port, and returns the client.
    using Call = std::function<std::shared_ptr<void>(EventLoop &, std::uint16_t, Reply)>;

    /// error: what the client has to report of each broken answer. limit: a time before its time-out.
    BrokenCall(ErrorCode error, std::chrono::milliseconds limit, Call call)
        : error_(error)
        , limit_(limit)
        , call_(std::move(call))
    {
        // As in the program: a write to a closed connection must fail instead of terminating the process.
        std::signal(SIGPIPE, SIG_IGN);
    }

    /// Checks that the call fails with each of these answers, as it is read.
    void checkFails(const brokenanswers::Answers &answers) const
    {
        for (const auto &answer : answers) {
            BOOST_TEST_CONTEXT(brokenanswers::describe(answer))
            {
                checkFails(answer);
            }
        }
    }

private:
    void checkFails(const RawEndpoint::Script &answer) const
    {
        EventLoop loop;
        RawEndpoint server(loop, { answer });
        std::optional<Result<T>> result;
        const auto startedAt = std::chrono::steady_clock::now();
        const auto client = call_(loop, server.port(), [&](Result<T> reply) {
            result = std::move(reply);
            loop.stop();
        });
        loop.run();
        BOOST_REQUIRE(result.has_value());
        BOOST_REQUIRE(!result->has_value());
        BOOST_TEST(result->error() == error_);
        BOOST_TEST((std::chrono::steady_clock::now() - startedAt < limit_));
    }

    ErrorCode error_;
    std::chrono::milliseconds limit_;
    Call call_;
};

} // namespace cowsliphead
