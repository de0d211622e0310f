#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleetcodec.h"
#include "fleet/fleetsnapshot.h"
#include "logs/log.h"
#include "relay/endpointlistcodec.h"
#include "relay/texthistory.h"

namespace cowsliphead
{

/// The configuration and the endpoints that a gateway knows, read from the store or received from a relay, with the last versions that it
/// can pass on. Neither ever goes back to an older revision. Thread safety: owner task only.
template <FleetCodec Codec>
class FleetState
{
public:
    /// Takes a configuration read from the store. Returns false if it is not newer.
    bool setConfiguration(std::shared_ptr<const Configuration> configuration, const std::string &text)
    {
        if (!configurations_.add(configuration->revision_, text)) {
            return false;
        }
        snapshot_.configuration_ = std::move(configuration);
        return true;
    }

    /// Takes the endpoints read from the store as of a revision. Returns false if they are the same as before.
    bool setEndpoints(std::vector<EndpointEntry> endpoints, StoreRevision revision)
    {
        auto text = endpointlistcodec::encode(endpoints);
        if (text == endpoints_.text()) {
            return false;
        }
        // Endpoints may also change without a change of the store: an entry that expired in an outage is given up.
        endpoints_.add(std::max<std::uint64_t>(revision, endpoints_.revision() + 1), std::move(text));
        snapshot_.endpoints_ = std::make_shared<const std::vector<EndpointEntry>>(std::move(endpoints));
        return true;
    }

    /// Takes a configuration received from a relay. Returns true if it is newer. Errors: CodecMalformed; the whole text is needed then.
    Result<bool> applyConfiguration(const TextUpdate &update)
    {
        auto isNew = configurations_.apply(update);
        if (!isNew || !*isNew) {
            return isNew;
        }
        auto decoded = Codec::decodeConfiguration({ std::string(Codec::configurationKey()), configurations_.text(), update.revision_, false });
        if (!decoded) {
            logEvent(LogEvent::ConfigurationMalformed, { { "revision", update.revision_ }, { "error", decoded.error().message() } });
            return false;
        }
        snapshot_.configuration_ = std::make_shared<const Configuration>(std::move(*decoded));
        logEvent(LogEvent::ConfigurationTaken, { { "version", snapshot_.configuration_->version_ }, { "revision", update.revision_ } });
        return true;
    }

    /// Takes endpoints received from a relay. Returns true if they are newer. Errors: CodecMalformed; the whole text is needed then.
    Result<bool> applyEndpoints(const TextUpdate &update)
    {
        auto isNew = endpoints_.apply(update);
        if (!isNew || !*isNew) {
            return isNew;
        }
        auto decoded = endpointlistcodec::decode(endpoints_.text());
        if (!decoded) {
            return tl::unexpected(decoded.error());
        }
        snapshot_.endpoints_ = std::make_shared<const std::vector<EndpointEntry>>(std::move(*decoded));
        return true;
    }

    TextHistory &configurations()
    {
        return configurations_;
    }

    TextHistory &endpoints()
    {
        return endpoints_;
    }

    const FleetSnapshot &snapshot() const
    {
        return snapshot_;
    }

private:
    TextHistory configurations_;
    TextHistory endpoints_;
    FleetSnapshot snapshot_{ nullptr, std::make_shared<const std::vector<EndpointEntry>>() };
};

} // namespace cowsliphead
