#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/errorcode.h"
#include "fleet/endpointdirectory.h"
#include "fleet/fleetcodec.h"
#include "fleet/storepresence.h"
#include "logs/log.h"
#include "store/rangedstore.h"
#include "task/timer.h"

namespace cowsliphead
{

/// Follows the endpoints' entries by a watch of its own.
template <RangedStore S, FleetCodec Codec, Clock C>
class EndpointReader
{
public:
    using OnChanged = std::function<void(std::vector<EndpointEntry>)>;

    /// onChanged gets all endpoints that may be used. leaveBound: a leaving endpoint may be used for so long. Precondition: loop, store
    /// and clock outlive the reader. Thread safety: the loop's task only.
    EndpointReader(EventLoop &loop, S &store, const C &clock, std::chrono::milliseconds leaveBound, OnChanged onChanged)
        : store_(store)
        , clock_(clock)
        , longestPause_(std::max(leaveBound / LeaveBoundParts, ShortestPause))
        , onChanged_(std::move(onChanged))
        , presence_("endpoints")
        , next_(loop, [this] { proceed(); })
        , expiry_(loop, [this] { expire(); })
    {
    }

    /// Precondition: called once. Thread safety: the loop's task only.
    void start()
    {
        expiry_.startRepeating(ExpiryInterval);
        read();
    }

    /// So many gateways read the entries. Thread safety: the loop's task only.
    void setGatewayCount(std::size_t count)
    {
        pause_ = std::clamp(PauseForEachGateway * static_cast<int>(count), ShortestPause, longestPause_);
    }

private:
    /// A watch waits so long. A connection that falls silent is noticed half a second later.
    static constexpr std::chrono::milliseconds WatchWait{ 1000 };

    /// Pause after a watch that found something, since entries are written all the time and each answer costs a call: for each gateway,
    /// so that the calls of all of them grow no further with the fleet, and its bounds. Longer pauses send more requests to endpoints that
    /// have left.
    static constexpr std::chrono::milliseconds PauseForEachGateway{ 16 };
    static constexpr std::chrono::milliseconds ShortestPause{ 450 };

    /// Part of the bound on a leaving endpoint's use that the pause may take; the rest is for a connection that falls silent.
    static constexpr int LeaveBoundParts = 3;

    /// Pause after a failed call.
    static constexpr std::chrono::milliseconds RetryPause{ 150 };
    static constexpr std::chrono::milliseconds ExpiryInterval{ 250 };

    void proceed()
    {
        if (isReadDue_) {
            read();
        } else {
            watch();
        }
    }

    void read()
    {
        pages_.clear();
        readPage();
    }

    void readPage()
    {
        const auto after = pages_.empty() ? std::string() : pages_.back().key_;
        store_.range(std::string(Codec::endpointPrefix()), after, [this, isFirst = pages_.empty()](const Result<StoreRange> &answer) {
            if (!answer) {
                failed(answer.error());
                return;
            }
            if (isFirst) {
                // Pages are no snapshot: the watch goes on from the first one.
                readFrom_ = answer->revision_;
            }
            pages_.insert(pages_.end(), answer->entries_.begin(), answer->entries_.end());
            if (answer->hasMore_ && !answer->entries_.empty()) {
                readPage();
            } else {
                readAll();
            }
        });
    }

    void readAll()
    {
        presence_.answered(readFrom_, clock_.now());
        cursor_ = readFrom_;
        std::vector<EndpointEntry> entries;
        for (const auto &page : std::exchange(pages_, {})) {
            if (auto entry = decode(page)) {
                entries.push_back(std::move(*entry));
            }
        }
        directory_.replaced(entries, presence_.lapsedUntil(clock_.now()));
        isReadDue_ = false;
        onChanged_(directory_.entries());
        watch();
    }

    void watch()
    {
        store_.watch(std::string(Codec::endpointPrefix()), cursor_, WatchWait, [this](const Result<WatchAnswer> &answer) {
            if (!answer) {
                isReadDue_ = answer.error() == ErrorCode::StoreHistoryGone;
                failed(answer.error());
                return;
            }
            cursor_ = std::max(cursor_, answer->revision_);
            presence_.answered(cursor_, clock_.now());
            for (const auto &entry : answer->entries_) {
                take(entry);
            }
            if (!answer->entries_.empty()) {
                onChanged_(directory_.entries());
            }
            next_.startOnce(answer->entries_.empty() ? std::chrono::milliseconds(0) : pause_);
        });
    }

    void take(const StoreEntry &entry)
    {
        if (entry.isErased_) {
            directory_.removed(Codec::endpointOf(entry.key_), presence_.lapsedUntil(clock_.now()));
        } else if (const auto decoded = decode(entry)) {
            take(*decoded, entry.revision_);
        } else {
            directory_.removed(Codec::endpointOf(entry.key_), std::nullopt);
        }
    }

    void take(const EndpointEntry &endpoint, StoreRevision revision)
    {
        if (!directory_.written(endpoint)) {
            logEvent(LogEvent::EndpointEntryOutdated, { { "endpoint", endpoint.id_.value() }, { "revision", revision }, { "sequence", endpoint.sequence_ } });
        } else if (endpoint.isLeaving_) {
            logEvent(LogEvent::EndpointLeaves, { { "endpoint", endpoint.id_.value() }, { "revision", revision } });
        }
    }

    Result<EndpointEntry> decode(const StoreEntry &entry) const
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
            onChanged_(directory_.entries());
        }
    }

    void failed(std::error_code error)
    {
        // A store that has forgotten its history answers: what is missing afterwards has left.
        if (error != ErrorCode::StoreHistoryGone) {
            presence_.failed(error, cursor_, clock_.now());
        }
        next_.startOnce(RetryPause);
    }

    S &store_;
    const C &clock_;
    std::chrono::milliseconds longestPause_;
    std::chrono::milliseconds pause_{ ShortestPause };
    OnChanged onChanged_;
    StorePresence presence_;
    EndpointDirectory directory_;
    Timer next_;
    Timer expiry_;
    std::vector<StoreEntry> pages_;
    StoreRevision readFrom_ = 0;
    StoreRevision cursor_ = 0;
    bool isReadDue_ = true;
};

} // namespace cowsliphead
