#pragma once

#include <chrono>
#include <cstddef>

namespace cowsliphead
{

/// Time and size limits of claims. All daemons of a fleet must use the same retention.
struct ClaimLimits {
    /// How long a key is kept after the last change of its state.
    std::chrono::milliseconds retention_{ std::chrono::minutes(10) };

    /// How long after a claim was requested an attempt may begin. The retention minus this window covers clock differences and
    /// pauses.
    std::chrono::milliseconds dispatchWindow_{ std::chrono::minutes(2) };

    /// How long a caller waits for its claim.
    std::chrono::milliseconds claimTimeout_{ 3000 };

    /// How long a daemon keeps trying to write to the store how a request ended.
    std::chrono::milliseconds endWriteTimeout_{ std::chrono::minutes(5) };

    /// Minimum time between the starts of two batches of one shard.
    std::chrono::milliseconds batchInterval_{ 200 };

    /// How long the end of a request may wait to be written together with a claim of its shard.
    std::chrono::milliseconds endWriteDelay_{ 1000 };

    /// How long a batch waits before it retries after the store did not answer.
    std::chrono::milliseconds retryInterval_{ 200 };

    /// Maximum difference between the wall clocks of two daemons.
    std::chrono::milliseconds maxClockSkew_{ 200 };

    /// Maximum size of a shard's value in the store, in bytes; below the store's own limit.
    std::size_t maxTableBytes_ = 900'000;

    /// Answers are stored only while the table is smaller than this, in bytes.
    std::size_t maxTableBytesWithAnswers_ = 250'000;

    /// Maximum size of the body of a stored answer, in bytes.
    std::size_t maxAnswerBytes_ = 1024;
};

} // namespace cowsliphead
