#pragma once

#include <chrono>
#include <cstddef>

namespace cowsliphead
{

/// How long claims are kept and waited for. All daemons of a fleet use the same retention.
struct ClaimLimits {
    /// How long a key is remembered from the last change of its state.
    std::chrono::milliseconds retention_{ std::chrono::minutes(10) };

    /// How long after the asking an attempt may begin. Retention less this covers differences of clocks and pauses.
    std::chrono::milliseconds dispatchWindow_{ std::chrono::minutes(2) };

    /// How long a caller waits for its claim.
    std::chrono::milliseconds claimTimeout_{ 3000 };

    /// How long a daemon goes on trying to write down how a request ended.
    std::chrono::milliseconds endWriteTimeout_{ std::chrono::minutes(5) };

    /// The least time between the beginnings of two batches of one shard.
    std::chrono::milliseconds batchInterval_{ 200 };

    /// How long the end of a request waits for a claim of its shard to be written with.
    std::chrono::milliseconds endWriteDelay_{ 1000 };

    /// How long a batch waits after the store did not answer.
    std::chrono::milliseconds retryInterval_{ 200 };

    /// By how much the wall clocks of two daemons may differ.
    std::chrono::milliseconds maxClockSkew_{ 200 };

    /// Room for claims in one value of the store, in bytes; below the store's own limit.
    std::size_t maxTableBytes_ = 900'000;

    /// Answers are kept only while the table is smaller than this, in bytes.
    std::size_t largestTableWithAnswers_ = 250'000;

    /// The longest body of an answer that is kept, in bytes.
    std::size_t maxAnswerBytes_ = 1024;
};

} // namespace cowsliphead
