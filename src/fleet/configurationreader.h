#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/errorcode.h"
#include "fleet/configuration.h"
#include "fleet/configurationconfirmed.h"
#include "fleet/fleetcodec.h"
#include "fleet/storepresence.h"
#include "logs/log.h"
#include "store/rangedstore.h"
#include "task/timer.h"

namespace cowsliphead
{

/// Follows the configuration by a watch of its own, whose answers confirm how recent it is.
template <RangedStore S, FleetCodec Codec, Clock C>
class ConfigurationReader
{
public:
    /// What follows from an answer.
    struct Events {
        std::function<void(std::shared_ptr<const Configuration>)> onChanged_;

        /// The configuration that was handed on last was the newest one when this look was asked for.
        std::function<void(ConfigurationConfirmed)> onConfirmed_;
    };

    /// Precondition: loop, store and clock outlive the reader. Thread safety: the loop's task only.
    ConfigurationReader(EventLoop &loop, S &store, const C &clock, Events events)
        : store_(store)
        , clock_(clock)
        , events_(std::move(events))
        , presence_("configuration")
        , next_(loop, [this] { proceed(); })
    {
    }

    /// Precondition: called once. Thread safety: the loop's task only.
    void start()
    {
        read();
    }

private:
    /// A watch waits so long: a third of the shortest bound on a withdrawn key's use, since the look before the one under way counts
    /// until that is answered.
    static constexpr std::chrono::milliseconds WatchWait{ 1650 };

    /// Pause after a failed call.
    static constexpr std::chrono::milliseconds RetryPause{ 150 };

    void proceed()
    {
        if (isLookDue_) {
            read();
        } else {
            watch();
        }
    }

    /// A look that is answered at once: the first one, and the one after a failure.
    void read()
    {
        const auto askedAt = clock_.now();
        store_.range(std::string(Codec::configurationKey()), {}, [this, askedAt](const Result<StoreRange> &answer) {
            if (!answer) {
                failed(answer.error());
                return;
            }
            for (const auto &entry : answer->entries_) {
                take(entry);
            }
            answered(answer->revision_, askedAt);
            isLookDue_ = configuration_ == nullptr;
            next_.startOnce(isLookDue_ ? RetryPause : std::chrono::milliseconds(0));
        });
    }

    void watch()
    {
        const auto askedAt = clock_.now();
        store_.watch(std::string(Codec::configurationKey()), cursor_, WatchWait, [this, askedAt](const Result<WatchAnswer> &answer) {
            if (!answer) {
                failed(answer.error());
                return;
            }
            for (const auto &entry : answer->entries_) {
                take(entry);
            }
            answered(answer->revision_, askedAt);
            next_.startOnce(std::chrono::milliseconds(0));
        });
    }

    void take(const StoreEntry &entry)
    {
        const bool isOutdated = configuration_ && entry.revision_ <= configuration_->revision_;
        if (entry.key_ != Codec::configurationKey() || entry.isErased_ || isOutdated) {
            return;
        }
        auto decoded = Codec::decodeConfiguration(entry);
        if (!decoded) {
            logEvent(LogEvent::ConfigurationMalformed, { { "revision", entry.revision_ }, { "error", decoded.error().message() } });
            return;
        }
        configuration_ = std::make_shared<const Configuration>(std::move(*decoded));
        logEvent(LogEvent::ConfigurationTaken, { { "version", configuration_->version_ }, { "revision", configuration_->revision_ } });
        events_.onChanged_(configuration_);
    }

    void answered(StoreRevision revision, MonotonicTime askedAt)
    {
        cursor_ = std::max(cursor_, revision);
        presence_.answered(cursor_, clock_.now());
        if (configuration_) {
            events_.onConfirmed_(ConfigurationConfirmed{ askedAt });
        }
    }

    void failed(std::error_code error)
    {
        // A store that has forgotten its history answers.
        if (error != ErrorCode::StoreHistoryGone) {
            presence_.failed(error, cursor_, clock_.now());
        }
        isLookDue_ = true;
        next_.startOnce(RetryPause);
    }

    S &store_;
    const C &clock_;
    Events events_;
    StorePresence presence_;
    Timer next_;
    std::shared_ptr<const Configuration> configuration_;
    StoreRevision cursor_ = 0;
    bool isLookDue_ = true;
};

} // namespace cowsliphead
