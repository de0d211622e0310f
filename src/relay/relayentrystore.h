#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "core/errorcode.h"
#include "logs/log.h"
#include "relay/relayentry.h"
#include "relay/relayentrycodec.h"
#include "store/rangedstore.h"

namespace cowsliphead
{

/// Reads and writes the entries that name the relays. Thread safety: the store's task only.
template <RangedStore S>
class RelayEntryStore
{
public:
    using OnRead = std::function<void(const Result<std::vector<RelayEntry>> &)>;
    using OnWritten = std::function<void(const Result<StoreRevision> &)>;

    /// No reply follows once this object is destroyed.
    explicit RelayEntryStore(std::unique_ptr<S> store)
        : store_(std::move(store))
    {
    }

    /// Reads the entries of all failure domains. An entry that cannot be decoded is left out.
    void read(OnRead reply)
    {
        store_->range(relayentrycodec::Prefix, {}, [reply = std::move(reply)](const Result<StoreRange> &answer) {
            if (answer) {
                reply(decoded(answer->entries_));
            } else {
                reply(tl::unexpected(answer.error()));
            }
        });
    }

    /// Writes the entry of the relay's failure domain. expectedRevision: of the present entry; 0 if there must be none. Errors: StoreConflict;
    /// after any other one the entry may have been written.
    void write(const GatewayMember &relay, const StoreRevision &expectedRevision, OnWritten reply)
    {
        StoreWrite write;
        write.key_ = relayentrycodec::keyOf(relay.domain_);
        write.value_ = relayentrycodec::toText(relay);
        write.expectedRevision_ = expectedRevision;
        store_->compareAndSwap(write, std::move(reply));
    }

    /// The newest era that the store has told; 0 if it tells none.
    StoreEra era() const
    {
        return store_->era();
    }

private:
    static std::vector<RelayEntry> decoded(const std::vector<StoreEntry> &stored)
    {
        std::vector<RelayEntry> entries;
        for (const auto &entry : stored) {
            if (auto relay = relayentrycodec::fromEntry(entry)) {
                entries.push_back(std::move(*relay));
            } else {
                logEvent(LogEvent::RelayEntryMalformed, { { "key", entry.key_ }, { "revision", entry.revision_.number_ } });
            }
        }
        return entries;
    }

    std::unique_ptr<S> store_;
};

} // namespace cowsliphead
