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

/// Keeps a directory of the endpoints up to date with its own watch on their entries in the store. Thread safety: the loop's task only.
template <RangedStore S, FleetCodec Codec, Clock C>
class EndpointReader
{
public:
    /// Callbacks for the answers of the store.
    struct Events {
        /// The directory may have changed.
        std::function<void()> onChanged_;

        /// Whether the store answered the last call.
        std::function<void(bool)> onAnswered_;
    };

    /// maxUseAfterLeaving: how long an endpoint may still be used after it has announced its leaving. Precondition: loop, store, clock and
    /// directory outlive the reader.
    EndpointReader(EventLoop &loop, S &store, const C &clock, EndpointDirectory &directory, std::chrono::milliseconds maxUseAfterLeaving, Events events)
        : store_(store)
        , clock_(clock)
        , directory_(directory)
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
        availability_.resumeFrom(directory_.revision());
        expiry_.startRepeating(ExpiryInterval);
        read();
    }

    /// Sets since when the store has not answered whoever read it before; entries that are missing from the first read may then only have
    /// expired. Precondition: start() was not called yet.
    void setStoreAwaySince(MonotonicTime since)
    {
        availability_.failed(make_error_code(ErrorCode::StoreUnavailable), cursor_, since);
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
            } else if (answer->revision_.era_ != watchStartRevision_.era_) {
                // Pages of two eras do not add up to what the store has.
                read();
                return;
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
        EndpointList list{ cursor_, {} };
        for (const auto &page : std::exchange(pages_, {})) {
            if (auto entry = decode(page)) {
                list.registrations_.push_back({ std::move(*entry), page.revision_, std::nullopt });
            }
        }
        directory_.replaceAll(list, availability_.reregistrationDeadline(clock_.now()));
        isReadDue_ = false;
        events_.onChanged_();
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
            directory_.readUpTo(cursor_);
            if (!answer->entries_.empty()) {
                events_.onChanged_();
            }
            nextCall_.startOnce(answer->entries_.empty() ? std::chrono::milliseconds(0) : pauseAfterChange_);
        });
    }

    void apply(const StoreEntry &entry)
    {
        if (entry.isErased_) {
            directory_.remove(Codec::endpointOf(entry.key_), entry.revision_, availability_.reregistrationDeadline(clock_.now()));
        } else if (const auto decoded = decode(entry)) {
            apply(*decoded, entry.revision_);
        } else {
            directory_.remove(Codec::endpointOf(entry.key_), entry.revision_, std::nullopt);
        }
    }

    void apply(const EndpointEntry &endpoint, const StoreRevision &revision)
    {
        if (!directory_.update(endpoint, revision)) {
            logEvent(LogEvent::EndpointEntryOutdated,
                     { { "endpoint", endpoint.id_.value() }, { "revision", revision.number_ }, { "sequence", endpoint.sequence_ } });
        } else if (endpoint.isLeaving_) {
            logEvent(LogEvent::EndpointLeaves, { { "endpoint", endpoint.id_.value() }, { "revision", revision.number_ } });
        }
    }

    Result<EndpointEntry> decode(const StoreEntry &entry) const
    {
        auto decoded = Codec::decodeEndpoint(entry);
        if (!decoded) {
            logEvent(LogEvent::EndpointEntryMalformed,
                     { { "key", entry.key_ }, { "revision", entry.revision_.number_ }, { "error", decoded.error().message() } });
        }
        return decoded;
    }

    void expire()
    {
        if (directory_.expire(clock_.now())) {
            events_.onChanged_();
        }
    }

    void answered(const StoreRevision &revision)
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
    EndpointDirectory &directory_;
    std::chrono::milliseconds pauseAfterChange_;
    Events events_;
    StoreAvailability availability_;
    RetryBackoff backoff_;
    Timer nextCall_;
    Timer expiry_;
    std::vector<StoreEntry> pages_;
    StoreRevision watchStartRevision_;
    StoreRevision cursor_;
    bool isReadDue_ = true;
};

} // namespace cowsliphead
