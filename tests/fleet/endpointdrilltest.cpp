#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/endpointdirectory.h"
#include "store/memorystore.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Now(1h);
constexpr int RelayCount = 2;
constexpr int EndpointCount = 3;

/// An endpoint as it is, whatever the store says.
struct Endpoint {
    EndpointEntry entry_;
    bool isRunning_ = false;
};

/// A gateway, and the incarnations that it knew as leaving or as gone for good.
struct Node {
    EndpointDirectory directory_;
    StoreRevision cursor_;
    std::set<std::pair<EndpointId, std::uint64_t>> left_;

    /// Records what the node knows. Returns false if it offers an incarnation that it knew as leaving, or one that it knew as gone and that is.
    bool check(const std::map<EndpointId, Endpoint> &endpoints)
    {
        std::map<EndpointId, EndpointEntry> listed;
        for (const auto &entry : directory_.entries()) {
            listed[entry.id_] = entry;
        }
        bool isKept = true;
        for (const auto &[id, entry] : listed) {
            const auto incarnation = std::pair(id, entry.incarnation_);
            if (entry.isLeaving_) {
                left_.insert(incarnation);
            } else if (left_.contains(incarnation)) {
                isKept = false;
            }
        }
        for (const auto &[id, entry] : std::exchange(listed_, listed)) {
            const auto &endpoint = endpoints.at(id);
            const bool isGone = !endpoint.isRunning_ || endpoint.entry_.incarnation_ > entry.incarnation_;
            if (isGone && !listed_.contains(id)) {
                left_.insert({ id, entry.incarnation_ });
            }
        }
        return isKept;
    }

private:
    std::map<EndpointId, EndpointEntry> listed_;
};

/// Endpoints that come and go, a store that comes back from copies, relays that read it, and a gateway that asks them.
class DrillHistory
{
public:
    DrillHistory()
    {
        store_.setEra(1);
        for (int number = 0; number < EndpointCount; ++number) {
            const EndpointId id(std::string(1, static_cast<char>('a' + number)));
            endpoints_[id].entry_.id_ = id;
        }
        copy_ = store_;
    }

    /// One change, chosen by two numbers. Returns false if a gateway broke a promise.
    bool step(int kind, int which)
    {
        auto &endpoint = std::next(endpoints_.begin(), which % EndpointCount)->second;
        auto &relay = relays_[static_cast<std::size_t>(which % RelayCount)];
        switch (kind) {
        case 0:
            endpoint.entry_.incarnation_ += endpoint.isRunning_ ? 0 : 1;
            endpoint.entry_.isLeaving_ = endpoint.isRunning_ && endpoint.entry_.isLeaving_;
            endpoint.isRunning_ = true;
            write(endpoint);
            break;
        case 1:
            endpoint.entry_.isLeaving_ = true;
            if (endpoint.isRunning_) {
                write(endpoint);
            }
            break;
        case 2:
            endpoint.isRunning_ = false;
            remove(endpoint);
            break;
        case 3:
            copy_ = store_;
            copiedEvents_ = events_.size();
            break;
        case 4:
            store_.restore(copy_, Now);
            events_.resize(copiedEvents_);
            for (auto &[id, running] : endpoints_) {
                if (running.isRunning_) {
                    write(running);
                }
            }
            break;
        case 5:
            read(relay);
            break;
        case 6:
            member_.directory_.merge(relay.directory_.list());
            break;
        case 7:
            // The relay's process is restarted, or is lost and another one takes its place.
            relay = Node();
            break;
        case 8:
            // The gateway is restarted.
            member_ = Node();
            break;
        default:
            relays_[0].directory_.merge(relays_[1].directory_.list());
            break;
        }
        return checkAll();
    }

    /// The store removes what nobody writes, all read it, and the time passes after which nothing is withheld. Returns true if all name the endpoints
    /// that run.
    bool settles()
    {
        for (auto &[id, endpoint] : endpoints_) {
            if (!endpoint.isRunning_) {
                remove(endpoint);
            }
        }
        for (auto &relay : relays_) {
            read(relay);
        }
        member_.directory_.merge(relays_[0].directory_.list());
        bool isSettled = checkAll();
        for (auto *node : { &relays_[0], &relays_[1], &member_ }) {
            node->directory_.expire(Now);
            node->directory_.expire(Now + EndpointDirectory::RestoredEntryLifetime);
            const auto entries = node->directory_.entries();
            isSettled = isSettled && std::all_of(endpoints_.begin(), endpoints_.end(), [&entries](const auto &item) {
                            const bool isListed = std::any_of(entries.begin(), entries.end(), [&item](const auto &entry) { return entry.id_ == item.first; });
                            return isListed == item.second.isRunning_;
                        });
        }
        return isSettled;
    }

private:
    void write(Endpoint &endpoint)
    {
        ++endpoint.entry_.sequence_;
        StoreWrite write;
        write.key_ = endpoint.entry_.id_.value();
        write.value_ = std::to_string(endpoint.entry_.incarnation_) + (endpoint.entry_.isLeaving_ ? "!" : "");
        write.expectedRevision_ = revisionOf(write.key_);
        events_.push_back({ write.key_, write.value_, *store_.compareAndSwap(write, Now), false });
    }

    void remove(const Endpoint &endpoint)
    {
        StoreWrite erase;
        erase.key_ = endpoint.entry_.id_.value();
        erase.expectedRevision_ = revisionOf(erase.key_);
        erase.isErase_ = true;
        if (!erase.expectedRevision_.isNone()) {
            events_.push_back({ erase.key_, {}, *store_.compareAndSwap(erase, Now), true });
        }
    }

    StoreRevision revisionOf(const std::string &key)
    {
        const auto entry = store_.read(key, Now);
        return entry ? entry->revision_ : StoreRevision();
    }

    static EndpointEntry decoded(const StoreEntry &stored)
    {
        EndpointEntry entry;
        entry.id_ = EndpointId(stored.key_);
        entry.incarnation_ = std::stoull(stored.value_);
        entry.isLeaving_ = stored.value_.ends_with('!');
        return entry;
    }

    /// As EndpointReader does it.
    void read(Node &relay)
    {
        const auto revision = store_.revision();
        if (!relay.cursor_.isNone() && relay.cursor_.era_ == revision.era_) {
            for (const auto &event : events_) {
                const StoreRevision at(revision.era_, event.revision_.number_);
                if (at <= relay.cursor_) {
                    continue;
                }
                if (event.isErased_) {
                    relay.directory_.remove(EndpointId(event.key_), at, std::nullopt);
                } else {
                    relay.directory_.update(decoded(event), at);
                }
            }
            relay.directory_.readUpTo(revision);
        } else {
            EndpointList list{ revision, {} };
            for (const auto &entry : store_.list("", "", EndpointCount, Now)) {
                list.registrations_.push_back({ decoded(entry), entry.revision_, std::nullopt });
            }
            relay.directory_.replaceAll(list, std::nullopt);
        }
        relay.cursor_ = revision;
    }

    bool checkAll()
    {
        bool isKept = member_.check(endpoints_);
        for (auto &relay : relays_) {
            isKept = relay.check(endpoints_) && isKept;
        }
        return isKept;
    }

    MemoryStore store_;
    MemoryStore copy_;

    /// The history of the store and how much of it the copy has.
    std::vector<StoreEntry> events_;
    std::size_t copiedEvents_ = 0;
    std::map<EndpointId, Endpoint> endpoints_;
    Node relays_[RelayCount];
    Node member_;
};

} // namespace

// Guards against an endpoint that gets requests after a gateway knew that it had left, and against one that gets none though it runs, whatever the
// store has forgotten and whoever learns of that later.
BOOST_AUTO_TEST_SUITE(gateways_whose_store_comes_back_from_copies)

BOOST_AUTO_TEST_CASE(forget_no_leaving_and_agree_in_the_end)
{
    const bool holds = rc::check("no leaving is forgotten, and all agree", [] {
        constexpr int Kinds = 10;
        DrillHistory history;
        const auto steps = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(1, 60));
        for (int number = 0; number < steps; ++number) {
            const auto kind = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, Kinds));
            const auto which = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, RelayCount * EndpointCount));
            RC_ASSERT(history.step(kind, which));
        }
        RC_ASSERT(history.settles());
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
