#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/endpointdirectory.h"
#include "fleet/fleetcodec.h"
#include "fleet/fleetsnapshot.h"
#include "logs/log.h"
#include "relay/endpointlistcodec.h"
#include "relay/endpointupdate.h"
#include "relay/texthistory.h"

namespace cowsliphead
{

/// The configuration and the endpoints that a gateway knows, read from the store or received from a relay, with the last versions that it
/// can pass on. Neither ever goes back to what an older revision says, nor the configuration to a lower version. Thread safety: owner task only.
template <FleetCodec Codec>
class FleetState
{
public:
    /// Takes a configuration read from the store. Returns false if it is not newer.
    bool setConfiguration(std::shared_ptr<const Configuration> configuration, const std::string &text)
    {
        if (isLowerVersion(*configuration) || !configurations_.add(configuration->revision_, text)) {
            return false;
        }
        snapshot_.configuration_ = std::move(configuration);
        return true;
    }

    /// What is known of the endpoints. A reader of the store keeps it up to date and then calls endpointsRead().
    EndpointDirectory &directory()
    {
        return directory_;
    }

    /// Makes what was read from the store the list that this gateway passes on. Returns true if the endpoints have changed.
    bool endpointsRead()
    {
        const bool isChanged = updateSnapshot();
        passOnDirectory();
        return isChanged;
    }

    /// Takes a configuration received from a relay. Returns true if it is newer. Errors: CodecMalformed; the whole text is needed then.
    Result<bool> applyConfiguration(const TextUpdate &update)
    {
        auto text = configurations_.expand(update);
        if (!text) {
            return tl::unexpected(text.error());
        }
        if (!text->has_value()) {
            return false;
        }
        auto decoded = Codec::decodeConfiguration({ std::string(Codec::configurationKey()), **text, update.revision_, false });
        if (decoded && isLowerVersion(*decoded)) {
            return false;
        }
        configurations_.add(update.revision_, std::move(**text));
        if (!decoded) {
            logEvent(LogEvent::ConfigurationMalformed, { { "revision", update.revision_.number_ }, { "error", decoded.error().message() } });
            return false;
        }
        snapshot_.configuration_ = std::make_shared<const Configuration>(std::move(*decoded));
        logEvent(LogEvent::ConfigurationTaken,
                 { { "version", snapshot_.configuration_->version_ }, { "revision", update.revision_.number_ }, { "era", update.revision_.era_ } });
        return true;
    }

    /// Joins the endpoints received from a relay that was asked at this time. Returns true if the endpoints have changed. Errors:
    /// CodecMalformed; the whole list is needed then.
    Result<bool> applyEndpoints(const EndpointUpdate &update, MonotonicTime askedAt)
    {
        const auto isNew = endpointLists_.apply(update.list_);
        if (!isNew || !*isNew) {
            return isNew;
        }
        const auto list = endpointlistcodec::decode(update.list_.revision_, endpointLists_.text(), update.leases_, askedAt);
        if (!list) {
            return tl::unexpected(list.error());
        }
        directory_.merge(*list);
        const bool isChanged = updateSnapshot();
        isListCurrent_ = directory_.names(*list);
        return isChanged;
    }

    /// The relay that was asked with this version of its list had no other one up to the revision.
    void confirmEndpoints(const TextVersion &version, const StoreRevision &revision)
    {
        if (version == endpointLists_.version() && isListCurrent_) {
            endpointLists_.confirm(revision);
            directory_.readUpTo(revision);
        }
    }

    /// Gives up the entries that are no longer to be kept. Returns true if the endpoints have changed.
    bool expireEndpoints(MonotonicTime now)
    {
        return directory_.expire(now) && updateSnapshot();
    }

    /// The version of the list that was received or passed on last.
    TextVersion endpointVersion() const
    {
        return endpointLists_.version();
    }

    /// Returns the update for a gateway that has the given version of the list, or nothing if it needs none. Precondition: this gateway reads
    /// the store.
    std::optional<EndpointUpdate> endpointUpdateFor(const TextVersion &known, MonotonicTime now)
    {
        passOnDirectory();
        if (!known.revision_.isNone() && known.digest_ == endpointLists_.version().digest_) {
            return std::nullopt;
        }
        auto update = endpointLists_.updateFor(known);
        if (!update) {
            return std::nullopt;
        }
        return EndpointUpdate{ std::move(*update), endpointlistcodec::leasesOf(directory_.list(), now) };
    }

    TextHistory &configurations()
    {
        return configurations_;
    }

    const FleetSnapshot &snapshot() const
    {
        return snapshot_;
    }

private:
    /// True for a version below the one in force: a store that came back from a copy has lost the latter, and a key that it withdrew stays withdrawn.
    bool isLowerVersion(const Configuration &configuration) const
    {
        return snapshot_.configuration_ && configuration.version_ < snapshot_.configuration_->version_;
    }

    void passOnDirectory()
    {
        if (directory_.revision().isNone()) {
            return;
        }
        if (!isListCurrent_) {
            endpointLists_.add(directory_.revision(), known_);
            isListCurrent_ = true;
        }
        endpointLists_.confirm(directory_.revision());
    }

    bool updateSnapshot()
    {
        auto known = endpointlistcodec::encode(directory_.list());
        if (known == known_) {
            return false;
        }
        known_ = std::move(known);
        isListCurrent_ = false;
        snapshot_.endpoints_ = std::make_shared<const std::vector<EndpointEntry>>(directory_.entries());
        return true;
    }

    TextHistory configurations_;
    EndpointDirectory directory_;

    /// The lists received from relays, and those that this gateway passed on as a relay.
    TextHistory endpointLists_;

    /// The directory in the form of endpointlistcodec.
    std::string known_;

    /// The newest of the lists names the same endpoints as the directory.
    bool isListCurrent_ = false;
    FleetSnapshot snapshot_{ nullptr, std::make_shared<const std::vector<EndpointEntry>>() };
};

} // namespace cowsliphead
