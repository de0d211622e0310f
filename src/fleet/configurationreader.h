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
#include "fleet/retrybackoff.h"
#include "fleet/storeavailability.h"
#include "logs/log.h"
#include "store/rangedstore.h"
#include "task/timer.h"

namespace cowsliphead
{

/// Follows the configuration with its own watch on the store. Each answer to the watch confirms that the configuration is up to date.
///
/// A store that came back from a copy may hold an older version than the one in force. That one stays in force, but nothing confirms it until the
/// operator has written it, or a later one, again: what the store lost may have been a still newer version.
/// Thread safety: the loop's task only.
template <RangedStore S, FleetCodec Codec, Clock C>
class ConfigurationReader
{
public:
    /// Callbacks for the answers of the store.
    struct Events {
        /// text: the stored form of the configuration.
        std::function<void(std::shared_ptr<const Configuration>, const std::string &text)> onChanged_;

        /// The configuration last passed to onChanged_ was the newest one when the confirming call was sent. Not called while the store has an
        /// older version than that.
        std::function<void(ConfigurationConfirmed)> onConfirmed_;

        /// Whether the store answered the last call.
        std::function<void(bool)> onAnswered_;
    };

    /// Precondition: loop, store and clock outlive the reader.
    ConfigurationReader(EventLoop &loop, S &store, const C &clock, Events events)
        : store_(store)
        , clock_(clock)
        , events_(std::move(events))
        , availability_("configuration")
        , nextCall_(loop, [this] { proceed(); })
    {
    }

    /// Precondition: called once.
    void start()
    {
        read();
    }

private:
    /// How long the store holds a watch without changes: a sixth of the shortest bound on the use of a withdrawn API key. Until a watch is
    /// answered, the configuration is only confirmed as of the start of the one before it.
    static constexpr std::chrono::milliseconds WatchWait{ 800 };

    void proceed()
    {
        if (isReadDue_) {
            read();
        } else {
            watch();
        }
    }

    /// Reads the configuration without waiting for a change: at the start and after a failure.
    void read()
    {
        const auto askedAt = clock_.now();
        store_.range(std::string(Codec::configurationKey()), {}, [this, askedAt](const Result<StoreRange> &answer) {
            if (!answer) {
                failed(answer.error());
                return;
            }
            for (const auto &entry : answer->entries_) {
                apply(entry);
            }
            answered(answer->revision_, askedAt);
            isReadDue_ = configuration_ == nullptr;
            nextCall_.startOnce(isReadDue_ ? backoff_.next() : std::chrono::milliseconds(0));
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
                apply(entry);
            }
            answered(answer->revision_, askedAt);
            nextCall_.startOnce(std::chrono::milliseconds(0));
        });
    }

    void apply(const StoreEntry &entry)
    {
        const bool isKnown = configuration_ && entry.revision_ <= configuration_->revision_;
        if (entry.key_ != Codec::configurationKey() || entry.isErased_ || isKnown) {
            return;
        }
        auto decoded = Codec::decodeConfiguration(entry);
        if (!decoded) {
            logEvent(LogEvent::ConfigurationMalformed, { { "revision", entry.revision_.number_ }, { "error", decoded.error().message() } });
            return;
        }
        if (configuration_ && decoded->version_ < configuration_->version_) {
            logEvent(LogEvent::ConfigurationOutdated,
                     { { "version", decoded->version_ }, { "inForce", configuration_->version_ }, { "era", entry.revision_.era_ } });
            return;
        }
        configuration_ = std::make_shared<const Configuration>(std::move(*decoded));
        logEvent(LogEvent::ConfigurationTaken,
                 { { "version", configuration_->version_ }, { "revision", configuration_->revision_.number_ }, { "era", configuration_->revision_.era_ } });
        events_.onChanged_(configuration_, entry.value_);
    }

    void answered(const StoreRevision &revision, MonotonicTime askedAt)
    {
        cursor_ = std::max(cursor_, revision);
        availability_.answered(cursor_, clock_.now());
        if (!configuration_) {
            return;
        }
        backoff_.reset();
        if (configuration_->revision_.era_ == revision.era_) {
            events_.onConfirmed_(ConfigurationConfirmed{ askedAt, configuration_->revision_ });
        }
        events_.onAnswered_(true);
    }

    void failed(std::error_code error)
    {
        // StoreHistoryGone means that the store is available but no longer keeps the revisions that the watch asked for.
        if (error != ErrorCode::StoreHistoryGone) {
            availability_.failed(error, cursor_, clock_.now());
            events_.onAnswered_(false);
        }
        isReadDue_ = true;
        nextCall_.startOnce(backoff_.next());
    }

    S &store_;
    const C &clock_;
    Events events_;
    StoreAvailability availability_;
    RetryBackoff backoff_;
    Timer nextCall_;
    std::shared_ptr<const Configuration> configuration_;
    StoreRevision cursor_;
    bool isReadDue_ = true;
};

} // namespace cowsliphead
