#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/errorcode.h"
#include "fleet/endpointdirectory.h"
#include "fleet/fleetcodec.h"
#include "fleet/retrybackoff.h"
#include "fleet/storeavailability.h"
#include "logs/log.h"
#include "store/rangedstore.h"
#include "task/timer.h"

namespace cowsliphead
{

/// Follows the entries of the endpoints with its own watch on the store. Thread safety: the loop's task only.
template <RangedStore S, FleetCodec Codec, Clock C>
class EndpointReader
{
public:
    /// Callbacks for the answers of the store.
    struct Events {
        /// All endpoints that may be used, as of a revision of the store.
        std::function<void(std::vector<EndpointEntry>, StoreRevision)> onChanged_;

        /// Whether the store answered the last call.
        std::function<void(bool)> onAnswered_;
    };

    /// maxUseAfterLeaving: how long an endpoint may still be used after it has announced its leaving. Precondition: loop, store and clock
    /// outlive the reader.
    EndpointReader(EventLoop &loop, S &store, const C &clock, std::chrono::milliseconds maxUseAfterLeaving, Events events)
        : store_(store)
        , clock_(clock)
        , pauseAfterChange_(std::min(maxUseAfterLeaving / UseAfterLeavingDivisor, MaxPauseAfterChange))
        , events_(std::move(events))
        , availability_("endpoints")
        , nextCall_(loop, [this] { proceed(); })
        , expiry_(loop, [this] { expire(); })
    {
    }

    /// Precondition: called once.
    void start()
    {
        expiry_.startRepeating(ExpiryInterval);
        read();
    }

    /// Sets the endpoints that were known before start(). storeAwaySince: since when the store has not answered whoever read them; entries
    /// that are missing from the first read may then only have expired. Precondition: start() was not called yet.
    void seed(const std::vector<EndpointEntry> &endpoints, std::optional<MonotonicTime> storeAwaySince)
    {
        for (const auto &endpoint : endpoints) {
            directory_.update(endpoint);
        }
        if (storeAwaySince) {
            availability_.failed(make_error_code(ErrorCode::StoreUnavailable), cursor_, *storeAwaySince);
        }
    }

private:
    /// How long the store holds a watch without changes. A connection that stopped responding is detected half a second after that, which
    /// adds to the time after which an endpoint's leaving is known. Entries change all the time, so a longer wait would save no calls.
    static constexpr std::chrono::milliseconds WatchWait{ 400 };

    /// Pause after a watch that reported changes. Entries are written all the time, and each answer costs another call. Longer pauses send
    /// more requests to endpoints that have left.
    static constexpr std::chrono::milliseconds MaxPauseAfterChange{ 600 };

    /// maxUseAfterLeaving divided by this is the longest pause; the rest is left for detecting a connection that stopped responding, and for
    /// passing the change on to other gateways.
    static constexpr int UseAfterLeavingDivisor = 6;

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
                // Pages are not read from one snapshot, so the watch starts from the first page's revision.
                watchStartRevision_ = answer->revision_;
            }
            pages_.insert(pages_.end(), answer->entries_.begin(), answer->entries_.end());
            if (answer->hasMore_ && !answer->entries_.empty()) {
                readPage();
            } else {
                finishRead();
            }
        });
    }

    void finishRead()
    {
        answered(watchStartRevision_);
        cursor_ = watchStartRevision_;
        std::vector<EndpointEntry> entries;
        for (const auto &page : std::exchange(pages_, {})) {
            if (auto entry = decode(page)) {
                entries.push_back(std::move(*entry));
            }
        }
        directory_.replaceAll(entries, availability_.reregistrationDeadline(clock_.now()));
        isReadDue_ = false;
        events_.onChanged_(directory_.entries(), cursor_);
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
            answered(cursor_);
            for (const auto &entry : answer->entries_) {
                apply(entry);
            }
            if (!answer->entries_.empty()) {
                events_.onChanged_(directory_.entries(), cursor_);
            }
            nextCall_.startOnce(answer->entries_.empty() ? std::chrono::milliseconds(0) : pauseAfterChange_);
        });
    }

    void apply(const StoreEntry &entry)
    {
        if (entry.isErased_) {
            directory_.remove(Codec::endpointOf(entry.key_), availability_.reregistrationDeadline(clock_.now()));
        } else if (const auto decoded = decode(entry)) {
            apply(*decoded, entry.revision_);
        } else {
            directory_.remove(Codec::endpointOf(entry.key_), std::nullopt);
        }
    }

    void apply(const EndpointEntry &endpoint, StoreRevision revision)
    {
        if (!directory_.update(endpoint)) {
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
            events_.onChanged_(directory_.entries(), cursor_);
        }
    }

    void answered(StoreRevision revision)
    {
        backoff_.reset();
        availability_.answered(revision, clock_.now());
        events_.onAnswered_(true);
    }

    void failed(std::error_code error)
    {
        // StoreHistoryGone means that the store is available, so entries missing from the next full read belong to endpoints that have left.
        if (error != ErrorCode::StoreHistoryGone) {
            availability_.failed(error, cursor_, clock_.now());
            events_.onAnswered_(false);
        }
        nextCall_.startOnce(backoff_.next());
    }

    S &store_;
    const C &clock_;
    std::chrono::milliseconds pauseAfterChange_;
    Events events_;
    StoreAvailability availability_;
    RetryBackoff backoff_;
    EndpointDirectory directory_;
    Timer nextCall_;
    Timer expiry_;
    std::vector<StoreEntry> pages_;
    StoreRevision watchStartRevision_ = 0;
    StoreRevision cursor_ = 0;
    bool isReadDue_ = true;
};

} // namespace cowsliphead
