#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "core/clock.h"
#include "relay/crashexchange.h"
#include "relay/quarantinestore.h"

namespace cowsliphead
{

/// The part of a relay task that keeps the fleet in agreement about what crashes endpoints: reports go from gateway to gateway by way of the
/// relays, the evidence against what is quarantined is also kept in the store. Thread safety: all members, on the loop's task only.
template <RangedStore S, Clock C>
class QuarantineRelay
{
public:
    /// self: this run of the process. gateway: the task that dispatches requests. Precondition: loop and clock outlive the object.
    QuarantineRelay(EventLoop &loop, const C &clock, InstanceId self, Address<CrashReports> gateway)
        : loop_(loop)
        , clock_(clock)
        , exchange_(std::move(self), std::move(gateway))
    {
    }

    /// Follows the store, as the relay of the failure domain.
    void startReading(std::unique_ptr<S> store)
    {
        store_.emplace(
            loop_, std::move(store), [this](const CrashReports &reports) { exchange_.received(reports, clock_.now()); }, [this] { storeAgain(); });
        store_->start();
        storeAgain();
    }

    void stopReading()
    {
        store_.reset();
    }

    /// The gateway task saw endpoints crash, or suspects answered.
    void received(const CrashReports &crashes)
    {
        exchange_.received(crashes, clock_.now());
        storeQuarantined({});
    }

    /// Returns the part of the next query to a gateway.
    CrashQuery queryFor(const PeerAddress &peer)
    {
        return exchange_.queryFor(peer, clock_.now());
    }

    /// Takes the answer of another gateway.
    void answered(const PeerAddress &peer, const InstanceId &incarnation, const CrashAnswer &answer)
    {
        exchange_.answered(peer, incarnation, answer, clock_.now());
        storeQuarantined(OtherRelayTime);
    }

    /// Returns the answer to a gateway of the failure domain, or to another relay.
    CrashAnswer answer(const CrashQuery &query)
    {
        auto answer = exchange_.answer(query, clock_.now());
        storeQuarantined({});
        return answer;
    }

private:
    /// Time for the relay of the failure domain that found the suspect to store it, so that not every relay does.
    static constexpr std::chrono::milliseconds OtherRelayTime{ 2000 };

    void storeAgain()
    {
        storedVersion_ = 0;
        storeQuarantined(OtherRelayTime);
    }

    void storeQuarantined(std::chrono::milliseconds delay)
    {
        const auto version = exchange_.crashes().version();
        if (!store_ || version == storedVersion_) {
            return;
        }
        const auto now = clock_.now();
        for (const auto suspect : exchange_.crashes().quarantined(now)) {
            store_->put(suspect, exchange_.crashes().evidenceAgainst(suspect, now), now + delay);
        }
        storedVersion_ = version;
    }

    EventLoop &loop_;
    const C &clock_;
    CrashExchange exchange_;
    std::optional<QuarantineStore<S>> store_;

    /// The version of the register up to which suspects were passed to the store.
    std::uint64_t storedVersion_ = 0;
};

} // namespace cowsliphead
