#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "platform/platformfleetcodec.h"
#include "relay/relaybehaviour.h"
#include "sharedstore.h"

/// Relay tasks of several gateways on one loop, with real connections between them and a store that they share.
class RelayTaskFleet
{
public:
    /// The task of one gateway, what its gateway reports and what it was told last.
    struct Gateway {
        cowsliphead::LocalLoad reported_;
        cowsliphead::FleetLoad told_;
        std::unique_ptr<cowsliphead::RelayBehaviour<SharedStore, cowsliphead::PlatformFleetCodec, cowsliphead::SystemClock>> task_;
    };

    /// The store holds a configuration, without which no relay counts as fit.
    RelayTaskFleet();

    /// Starts the task of a gateway.
    void start(const std::string &name, const std::string &domain);

    /// Starts a gateway of the version before, which knows no eras of the store and is the relay of the failure domain.
    void startOldRelay(const std::string &name, const std::string &domain);

    /// The store tells an era from now on. Precondition: it has none.
    void setEra(cowsliphead::StoreEra era);

    /// Ends it without notice.
    void kill(const std::string &name);

    /// Precondition: the gateway was started.
    Gateway &gateway(const std::string &name);

    /// Runs the tasks until the condition holds. Returns false if it does not within the time.
    bool runUntil(const std::function<bool()> &isReached, std::chrono::milliseconds limit = std::chrono::seconds(15));

private:
    static constexpr std::chrono::milliseconds CheckInterval{ 20 };

    cowsliphead::EventLoop loop_;
    cowsliphead::SystemClock clock_;
    std::shared_ptr<cowsliphead::MemoryStore> content_ = std::make_shared<cowsliphead::MemoryStore>();
    std::map<std::string, Gateway> gateways_;
    std::unique_ptr<cowsliphead::PeerServer> oldRelay_;
    cowsliphead::RelayAnswer oldAnswer_;
};
