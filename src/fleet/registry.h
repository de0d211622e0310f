#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/errorcode.h"
#include "fleet/endpointdirectory.h"
#include "fleet/fleetcodec.h"
#include "fleet/gatewaycensus.h"
#include "fleet/registrylinks.h"
#include "logs/log.h"
#include "store/rangedstore.h"
#include "task/timer.h"

namespace cowsliphead
{

/// Follows the configuration and the endpoints' entries by one watch on the store, and hands on what it reads.
template <RangedStore S, FleetCodec Codec, Clock C>
class Registry
{
public:
    /// Precondition: loop, store and clock outlive the registry. Thread safety: the loop's task only.
    Registry(EventLoop &loop, S &store, const C &clock, RegistryLinks links)
        : store_(store)
        , clock_(clock)
        , links_(std::move(links))
        , census_(GatewayPresence)
        , next_(loop, [this] { proceed(); })
        , expiry_(loop, [this] { expire(); })
    {
    }

    /// Reads all and goes on by watching. Precondition: called once. Thread safety: the loop's task only.
    void start()
    {
        expiry_.startRepeating(ExpiryInterval);
        proceed();
    }

private:
    /// Bound of the time, from the store's return, that an entry which lapsed while it was away takes to come back.
    static constexpr std::chrono::milliseconds ReturnGrace{ 2000 };

    /// No entry lapses in a shorter absence, as when one connection is lost.
    static constexpr std::chrono::milliseconds ShortestLapse{ 1000 };

    /// Removals that are read this long after the store's return lapsed while it was away; a later one is an endpoint that leaves.
    static constexpr std::chrono::milliseconds LapseReading{ 400 };

    /// A watch waits so long, a fifth of the shortest bound on a withdrawn key's use.
    static constexpr std::chrono::milliseconds WatchWait{ 1000 };

    /// Pause after a watch that found something, so that changes which come together cost one call.
    static constexpr std::chrono::milliseconds CoalescingPause{ 120 };

    /// Pause after a failed call.
    static constexpr std::chrono::milliseconds RetryPause{ 150 };
    static constexpr std::chrono::milliseconds ExpiryInterval{ 250 };

    /// Two windows of the usual length and the time to write their counts.
    static constexpr std::chrono::milliseconds GatewayPresence{ 13000 };

    enum class Stage {
        Configuration,
        Endpoints,
        Watching,
    };

    void proceed()
    {
        switch (stage_) {
        case Stage::Configuration:
            readConfiguration();
            break;
        case Stage::Endpoints:
            readEndpoints();
            break;
        case Stage::Watching:
            watch();
            break;
        }
    }

    void readConfiguration()
    {
        const auto askedAt = clock_.now();
        const std::string key(Codec::configurationKey());
        store_.range(key, {}, [this, askedAt, key](const Result<StoreRange> &answer) {
            if (!answer) {
                failed(answer.error());
                return;
            }
            answered();
            cursor_ = answer->revision_;
            for (const auto &entry : answer->entries_) {
                takeEntry(entry);
            }
            if (configuration_ == nullptr) {
                next_.startOnce(RetryPause);
                return;
            }
            askedAt_ = askedAt;
            stage_ = Stage::Endpoints;
            pages_.clear();
            readEndpoints();
        });
    }

    void readEndpoints()
    {
        const auto after = pages_.empty() ? std::string() : pages_.back().key_;
        store_.range(std::string(Codec::endpointPrefix()), after, [this](const Result<StoreRange> &answer) {
            if (!answer) {
                failed(answer.error());
                return;
            }
            answered();
            pages_.insert(pages_.end(), answer->entries_.begin(), answer->entries_.end());
            if (answer->hasMore_ && !answer->entries_.empty()) {
                readEndpoints();
                return;
            }
            std::vector<EndpointEntry> entries;
            for (const auto &page : std::exchange(pages_, {})) {
                if (auto entry = decodeEndpoint(page)) {
                    entries.push_back(std::move(*entry));
                }
            }
            directory_.replaced(entries, awaitedUntil());
            stage_ = Stage::Watching;
            publish();
            links_.looks_.send(LookConfirmed{ askedAt_ });
            watch();
        });
    }

    void watch()
    {
        const auto askedAt = clock_.now();
        store_.watch({}, cursor_, WatchWait, [this, askedAt](const Result<WatchAnswer> &answer) {
            if (!answer) {
                if (answer.error() == ErrorCode::StoreHistoryGone) {
                    stage_ = Stage::Configuration;
                }
                failed(answer.error());
                return;
            }
            answered();
            cursor_ = std::max(cursor_, answer->revision_);
            bool isChanged = false;
            for (const auto &entry : answer->entries_) {
                isChanged = takeEntry(entry) || isChanged;
            }
            if (isChanged) {
                publish();
            }
            links_.looks_.send(LookConfirmed{ askedAt });
            next_.startOnce(answer->entries_.empty() ? std::chrono::milliseconds(0) : CoalescingPause);
        });
    }

    /// True if the entry changed what is handed on.
    bool takeEntry(const StoreEntry &entry)
    {
        if (entry.key_ == Codec::configurationKey()) {
            return takeConfiguration(entry);
        }
        if (!entry.key_.starts_with(Codec::endpointPrefix())) {
            census_.written(entry.key_, clock_.now());
            return false;
        }
        if (entry.isErased_) {
            directory_.removed(Codec::endpointOf(entry.key_), awaitedUntil());
            return true;
        }
        if (const auto decoded = decodeEndpoint(entry)) {
            takeEndpoint(*decoded, entry.revision_);
        } else {
            directory_.removed(Codec::endpointOf(entry.key_), std::nullopt);
        }
        return true;
    }

    void takeEndpoint(const EndpointEntry &endpoint, StoreRevision revision)
    {
        if (!directory_.written(endpoint)) {
            logEvent(LogEvent::EndpointEntryOutdated, { { "endpoint", endpoint.id_.value() }, { "revision", revision }, { "sequence", endpoint.sequence_ } });
        } else if (endpoint.isLeaving_) {
            logEvent(LogEvent::EndpointLeaves, { { "endpoint", endpoint.id_.value() }, { "revision", revision } });
        }
    }

    bool takeConfiguration(const StoreEntry &entry)
    {
        if (entry.isErased_ || (configuration_ && entry.revision_ <= configuration_->revision_)) {
            return false;
        }
        auto decoded = Codec::decodeConfiguration(entry);
        if (!decoded) {
            logEvent(LogEvent::ConfigurationMalformed, { { "revision", entry.revision_ }, { "error", decoded.error().message() } });
            return false;
        }
        configuration_ = std::make_shared<const Configuration>(std::move(*decoded));
        logEvent(LogEvent::ConfigurationTaken, { { "version", configuration_->version_ }, { "revision", configuration_->revision_ } });
        return true;
    }

    Result<EndpointEntry> decodeEndpoint(const StoreEntry &entry) const
    {
        auto decoded = Codec::decodeEndpoint(entry);
        if (!decoded) {
            logEvent(LogEvent::EndpointEntryMalformed, { { "key", entry.key_ }, { "revision", entry.revision_ }, { "error", decoded.error().message() } });
        }
        return decoded;
    }

    void expire()
    {
        if (directory_.expire(clock_.now())) {
            publish();
        }
        const GatewayCount count{ census_.count(clock_.now()) };
        links_.counts_.send(count);
        links_.dutyCounts_.send(count);
    }

    void publish()
    {
        const FleetSnapshot snapshot{ configuration_, std::make_shared<const std::vector<EndpointEntry>>(directory_.entries()) };
        links_.snapshots_.send(snapshot);
        links_.dutySnapshots_.send(snapshot);
    }

    /// Until when an entry that is missing now may come back; nothing if it did not lapse with the store.
    std::optional<MonotonicTime> awaitedUntil() const
    {
        if (regainedAt_ && clock_.now() - *regainedAt_ < LapseReading) {
            return *regainedAt_ + ReturnGrace;
        }
        return std::nullopt;
    }

    void failed(std::error_code error)
    {
        if (error == ErrorCode::StoreHistoryGone) {
            // The store answers: what is missing afterwards has left.
            next_.startOnce(RetryPause);
            return;
        }
        if (!std::exchange(isAway_, true)) {
            awaySince_ = clock_.now();
            logEvent(LogEvent::StoreLost, { { "error", error.message() }, { "revision", cursor_ } });
        }
        next_.startOnce(RetryPause);
    }

    void answered()
    {
        if (std::exchange(isAway_, false)) {
            const auto awayFor = std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - awaySince_);
            if (awayFor >= ShortestLapse) {
                regainedAt_ = clock_.now();
            }
            logEvent(LogEvent::StoreRegained, { { "revision", cursor_ }, { "awayMs", std::uint64_t(awayFor.count()) } });
        }
    }

    S &store_;
    const C &clock_;
    RegistryLinks links_;
    EndpointDirectory directory_;
    GatewayCensus census_;
    Timer next_;
    Timer expiry_;
    Stage stage_ = Stage::Configuration;
    std::shared_ptr<const Configuration> configuration_;
    std::vector<StoreEntry> pages_;
    StoreRevision cursor_ = 0;
    MonotonicTime askedAt_;
    MonotonicTime awaySince_;

    /// The end of the last absence that was long enough for entries to lapse.
    std::optional<MonotonicTime> regainedAt_;
    bool isAway_ = false;
};

} // namespace cowsliphead
