#include <boost/test/unit_test.hpp>

#include "core/errorcode.h"
#include "store/storeeratracker.h"
#include "store/storewrite.h"

using namespace cowsliphead;

namespace
{

/// A write that relies on a revision, on a lease and on a guard, each of the given era.
StoreWrite writeOf(StoreEra revision, StoreEra lease, StoreEra guard)
{
    StoreWrite write;
    write.expectedRevision_ = { revision, 5 };
    write.lease_ = leaseIdOf(lease, 7);
    write.guards_.push_back({ "fence", { guard, 4 } });
    return write;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_revisions_of_a_store)

BOOST_AUTO_TEST_CASE(are_ordered_by_era_and_then_by_number)
{
    BOOST_TEST((StoreRevision(2, 5) > StoreRevision(1, 90)));
    BOOST_TEST((StoreRevision(2, 5) < StoreRevision(2, 6)));
    BOOST_TEST((StoreRevision(1, 1) > StoreRevision(90)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_client_of_a_store_with_eras)

BOOST_AUTO_TEST_CASE(keeps_the_newest_era_when_answers_overtake_each_other)
{
    StoreEraTracker eras;
    eras.answered(3);
    eras.answered(2);
    BOOST_TEST(eras.newest() == 3U);
}

BOOST_AUTO_TEST_CASE(sends_only_writes_that_rely_on_nothing_of_an_earlier_era)
{
    StoreEraTracker eras;
    eras.answered(2);
    BOOST_TEST(eras.mayWrite(writeOf(2, 2, 2)).has_value());
    BOOST_TEST(eras.mayWrite(writeOf(1, 2, 2)).error() == ErrorCode::StoreConflict);
    BOOST_TEST(eras.mayWrite(writeOf(2, 1, 2)).error() == ErrorCode::StoreLeaseUnknown);
    BOOST_TEST(eras.mayWrite(writeOf(2, 2, 1)).error() == ErrorCode::StoreConflict);
    BOOST_TEST(eras.mayWrite(StoreWrite()).has_value());
}

BOOST_AUTO_TEST_CASE(takes_a_write_that_another_era_executed_for_one_that_failed)
{
    BOOST_TEST(StoreEraTracker::outcomeOf(writeOf(2, 2, 2), { 2, 9 }).has_value());
    BOOST_TEST(StoreEraTracker::outcomeOf(writeOf(1, 1, 1), { 2, 9 }).error() == ErrorCode::StoreConflict);
    BOOST_TEST(StoreEraTracker::outcomeOf(writeOf(2, 1, 2), { 2, 9 }).error() == ErrorCode::StoreLeaseUnknown);
    BOOST_TEST(StoreEraTracker::outcomeOf(StoreWrite(), { 2, 9 }).has_value());
}

BOOST_AUTO_TEST_CASE(names_a_lease_to_the_store_only_in_the_era_that_granted_it)
{
    StoreEraTracker eras;
    eras.answered(2);
    BOOST_TEST(eras.mayName(leaseIdOf(2, 7)));
    BOOST_TEST(!eras.mayName(leaseIdOf(1, 7)));
}

BOOST_AUTO_TEST_SUITE_END()
