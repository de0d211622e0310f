#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

#include "endpointhistory.h"
#include "fleet/endpointdirectory.h"

using namespace cowsliphead;

namespace
{

/// Lists of several readers at random revisions, out of order and repeated.
std::vector<EndpointList> someLists(const EndpointHistory &history, std::minstd_rand &random)
{
    std::vector<EndpointList> lists(6);
    std::generate(lists.begin(), lists.end(), [&] { return history.listAt(1 + random() % history.lastRevision(), random); });
    lists.push_back(lists.front());
    return lists;
}

EndpointDirectory joined(const std::vector<EndpointList> &lists)
{
    EndpointDirectory directory;
    for (const auto &list : lists) {
        directory.merge(list);
    }
    return directory;
}

bool isSame(const EndpointList &left, const EndpointList &right)
{
    return left.revision_ == right.revision_
        && std::equal(left.registrations_.begin(),
                      left.registrations_.end(),
                      right.registrations_.begin(),
                      right.registrations_.end(),
                      [](const EndpointRegistration &one, const EndpointRegistration &other) {
                          return one.entry_.id_ == other.entry_.id_ && one.entry_.incarnation_ == other.entry_.incarnation_
                              && one.entry_.isLeaving_ == other.entry_.isLeaving_ && one.keepUntil_ == other.keepUntil_;
                      });
}

bool lists(const EndpointList &list, const EndpointId &id)
{
    return std::any_of(list.registrations_.begin(), list.registrations_.end(), [&id](const auto &registration) { return registration.entry_.id_ == id; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(what_several_readers_know_of_the_endpoints)

RC_BOOST_PROP(is_the_same_in_whatever_order_it_arrives, (const std::vector<std::uint8_t> &changes, std::uint32_t seed))
{
    RC_PRE(!changes.empty());
    const EndpointHistory history(changes);
    std::minstd_rand random(seed);
    auto known = someLists(history, random);
    const auto first = joined(known).list();
    std::shuffle(known.begin(), known.end(), random);
    RC_ASSERT(isSame(joined(known).list(), first));
}

RC_BOOST_PROP(names_all_endpoints_that_the_newest_of_them_found, (const std::vector<std::uint8_t> &changes, std::uint32_t seed))
{
    RC_PRE(!changes.empty());
    const EndpointHistory history(changes);
    std::minstd_rand random(seed);
    const auto directory = joined(someLists(history, random));
    for (const auto *name : { "a", "b", "c" }) {
        const EndpointId id(name);
        const bool isListed = lists(directory.list(), id);
        RC_ASSERT(isListed || !history.stands(id, directory.revision().number_));
    }
}

RC_BOOST_PROP(names_no_endpoint_that_one_of_them_knew_as_gone, (const std::vector<std::uint8_t> &changes, std::uint32_t seed))
{
    RC_PRE(!changes.empty());
    const EndpointHistory history(changes);
    std::minstd_rand random(seed);
    const auto known = someLists(history, random);
    const auto directory = joined(known);
    for (const auto &registration : directory.list().registrations_) {
        const auto &id = registration.entry_.id_;
        if (history.stands(id, directory.revision().number_)) {
            RC_ASSERT(!registration.keepUntil_);
            continue;
        }
        const auto removedAt = history.removedAt(id, directory.revision().number_);
        RC_ASSERT(registration.keepUntil_);
        RC_ASSERT(std::none_of(known.begin(), known.end(), [&](const EndpointList &list) { return list.revision_ >= removedAt && !lists(list, id); }));
    }
}

RC_BOOST_PROP(lets_no_incarnation_be_used_that_one_of_them_knew_as_leaving, (const std::vector<std::uint8_t> &changes, std::uint32_t seed))
{
    RC_PRE(!changes.empty());
    const EndpointHistory history(changes);
    std::minstd_rand random(seed);
    const auto known = someLists(history, random);
    for (const auto &entry : joined(known).entries()) {
        for (const auto &list : known) {
            for (const auto &registration : list.registrations_) {
                const bool hasLeft =
                    registration.entry_.id_ == entry.id_ && registration.entry_.isLeaving_ && registration.entry_.incarnation_ >= entry.incarnation_;
                RC_ASSERT(!hasLeft || entry.isLeaving_);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
