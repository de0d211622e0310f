#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "fleet/endpointdirectory.h"

using namespace cowsliphead;

namespace
{

const EndpointId Endpoint("e");

/// The store loses an entry by removal only; a lapse in an outage looks the same.
struct Change {
    std::uint64_t incarnation_ = 0;
    bool isLeaving_ = false;
    bool isRemoval_ = false;
};

/// A gateway, and what it must not unlearn.
struct Node {
    EndpointDirectory directory_;

    /// The revision up to which it has read the store itself.
    std::uint64_t cursor_ = 0;

    /// The newest incarnation that it knew as leaving.
    std::uint64_t left_ = 0;

    /// The newest revision at which it knew that the endpoint has no entry.
    std::uint64_t goneAt_ = 0;

    void learn(const EndpointList &list)
    {
        if (list.registrations_.empty()) {
            goneAt_ = std::max(goneAt_, list.revision_.number_);
        } else if (const auto &entry = list.registrations_.front().entry_; entry.isLeaving_) {
            left_ = std::max(left_, entry.incarnation_);
        }
    }
};

/// One endpoint, a store, two gateways that read it as relays, one that asks them, and its answer under way.
struct State {
    std::vector<Change> changes_;
    Node relays_[2];
    Node member_;
    std::vector<EndpointList> underWay_;
    int outages_ = 0;
    std::string path_;

    bool stands(std::uint64_t revision) const
    {
        return revision > 0 && !changes_[revision - 1].isRemoval_;
    }

    std::uint64_t removedAt(std::uint64_t revision) const
    {
        while (revision > 0 && !changes_[revision - 1].isRemoval_) {
            --revision;
        }
        return revision;
    }

    /// True if the incarnation whose entry stands at the revision has announced its leaving before.
    bool hasLeft(std::uint64_t revision) const
    {
        const auto incarnation = changes_[revision - 1].incarnation_;
        return std::any_of(changes_.begin(), changes_.begin() + static_cast<std::ptrdiff_t>(revision), [incarnation](const Change &change) {
            return change.isLeaving_ && change.incarnation_ >= incarnation;
        });
    }

    MonotonicTime keepUntil() const
    {
        return MonotonicTime(std::chrono::hours(1 + outages_));
    }
};

class Exploration
{
public:
    /// Explores all states with at most this many writes to the store and outages.
    Exploration(std::size_t maxChanges, int maxOutages)
        : maxChanges_(maxChanges)
        , maxOutages_(maxOutages)
    {
        add(State(), "");
        while (!pending_.empty() && fault_.empty()) {
            const auto state = std::move(pending_.front());
            pending_.pop_front();
            expand(state);
        }
    }

    std::size_t stateCount() const
    {
        return seen_.size();
    }

    /// The shortest series of steps that breaks a promise, or nothing.
    const std::string &fault() const
    {
        return fault_;
    }

private:
    void expand(const State &state)
    {
        write(state);
        for (int number = 0; number < 2; ++number) {
            read(state, number, false);
            read(state, number, true);
            ask(state, number);
        }
        if (!state.underWay_.empty()) {
            auto next = state;
            deliver(next.member_, next.underWay_.front());
            add(std::move(next), "answer arrives");
        }
        auto exchanged = state;
        deliver(exchanged.relays_[0], state.relays_[1].directory_.list());
        add(std::move(exchanged), "relay 0 yields to relay 1");
        endOutage(state);
    }

    void write(const State &state)
    {
        if (state.changes_.size() == maxChanges_) {
            return;
        }
        const auto last = state.changes_.empty() ? Change{ 0, false, true } : state.changes_.back();
        change(state, { last.incarnation_ + 1, false, false }, "starts");
        if (last.incarnation_ == 0) {
            return;
        }
        change(state, { last.incarnation_, false, false }, "written late or again");
        if (!last.isRemoval_) {
            change(state, { last.incarnation_, true, false }, "drains");
            change(state, { last.incarnation_, last.isLeaving_, true }, "removed");
        }
    }

    void change(const State &state, const Change &change, const char *name)
    {
        auto next = state;
        next.changes_.push_back(change);
        add(std::move(next), name);
    }

    /// The relay applies all changes that it has not read. After an outage it keeps what was removed.
    void read(const State &state, int number, bool isAfterOutage)
    {
        auto next = state;
        auto &relay = next.relays_[number];
        for (auto revision = relay.cursor_ + 1; revision <= next.changes_.size(); ++revision) {
            apply(relay, next.changes_[revision - 1], revision, isAfterOutage ? std::optional(next.keepUntil()) : std::nullopt);
        }
        relay.cursor_ = next.changes_.size();
        relay.directory_.readUpTo(relay.cursor_);
        add(std::move(next), "relay " + std::to_string(number) + (isAfterOutage ? " reads after an outage" : " reads"));
    }

    static void apply(Node &relay, const Change &change, std::uint64_t revision, std::optional<MonotonicTime> keepUntil)
    {
        if (change.isRemoval_) {
            relay.directory_.remove(Endpoint, revision, keepUntil);
            relay.goneAt_ = relay.directory_.entries().empty() ? revision : relay.goneAt_;
            return;
        }
        EndpointEntry entry;
        entry.id_ = Endpoint;
        entry.incarnation_ = change.incarnation_;
        entry.isLeaving_ = change.isLeaving_;
        relay.left_ = change.isLeaving_ ? std::max(relay.left_, change.incarnation_) : relay.left_;
        relay.directory_.update(entry, revision);
    }

    /// The answer before is lost if it has not arrived.
    void ask(const State &state, int number)
    {
        auto next = state;
        next.underWay_ = { state.relays_[number].directory_.list() };
        add(std::move(next), "relay " + std::to_string(number) + " answers");
    }

    static void deliver(Node &node, const EndpointList &list)
    {
        node.directory_.merge(list);
        node.learn(list);
    }

    void endOutage(const State &state)
    {
        if (state.outages_ == maxOutages_) {
            return;
        }
        auto next = state;
        for (auto *node : { &next.relays_[0], &next.relays_[1], &next.member_ }) {
            if (node->directory_.expire(state.keepUntil())) {
                node->goneAt_ = std::max(node->goneAt_, state.removedAt(node->directory_.revision().number_));
            }
        }
        ++next.outages_;
        add(std::move(next), "kept entries expire");
    }

    void add(State &&state, const std::string &step)
    {
        state.path_ += step.empty() ? "" : step + "; ";
        for (const auto *node : { &state.relays_[0], &state.relays_[1], &state.member_ }) {
            if (fault_.empty() && !isTrue(state, *node)) {
                fault_ = state.path_;
            }
        }
        if (seen_.insert(keyOf(state)).second) {
            pending_.push_back(std::move(state));
        }
    }

    static bool isTrue(const State &state, const Node &node)
    {
        const auto revision = node.directory_.revision().number_;
        const auto list = node.directory_.list();
        if (list.registrations_.empty()) {
            return !state.stands(revision) || state.hasLeft(revision);
        }
        const auto &registration = list.registrations_.front();
        const bool isLeavingKnown = registration.entry_.isLeaving_ || registration.entry_.incarnation_ > node.left_;
        const bool isStanding = state.stands(revision) && !registration.keepUntil_;
        return isLeavingKnown && (isStanding || (registration.keepUntil_ && state.removedAt(revision) > node.goneAt_));
    }

    static void print(std::ostream &stream, const EndpointList &list)
    {
        stream << list.revision_;
        for (const auto &registration : list.registrations_) {
            stream << ',' << registration.entry_.incarnation_ << registration.entry_.isLeaving_ << registration.since_ << 'k'
                   << (registration.keepUntil_ ? registration.keepUntil_->time_since_epoch().count() : 0);
        }
        stream << ';';
    }

    static std::string keyOf(const State &state)
    {
        std::ostringstream stream;
        for (const auto &change : state.changes_) {
            stream << change.incarnation_ << change.isLeaving_ << change.isRemoval_ << ',';
        }
        for (const auto *node : { &state.relays_[0], &state.relays_[1], &state.member_ }) {
            print(stream, node->directory_.list());
            stream << node->cursor_ << ',' << node->left_ << ',' << node->goneAt_ << ';';
        }
        for (const auto &list : state.underWay_) {
            print(stream, list);
        }
        stream << state.outages_;
        return stream.str();
    }

    std::size_t maxChanges_;
    int maxOutages_;
    std::deque<State> pending_;
    std::set<std::string> seen_;
    std::string fault_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(every_order_of_changes_reads_and_answers)

BOOST_AUTO_TEST_CASE(leaves_each_gateway_with_what_it_has_learned)
{
    const Exploration exploration(4, 1);
    BOOST_TEST(exploration.fault() == "");
    BOOST_TEST_MESSAGE(exploration.stateCount() << " states");
    BOOST_TEST(exploration.stateCount() > 10000U);
}

BOOST_AUTO_TEST_SUITE_END()
