#include <boost/test/unit_test.hpp>

#include "core/errorcode.h"
#include "decide/staleness.h"
#include "records/change.h"
#include "records/recordset.h"
#include "records/recordsnapshot.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

struct Fixture {
    Fixture()
    {
        Change change;
        change.revision_ = 1;
        change.key_ = RecordKey{ "account", "press" };
        change.text_ = R"({"schema": 2, "kind": "account", "name": "press", "maxStalenessMs": 60000})";
        records_ = RecordSet().after(change);
    }

    RecordSnapshot records_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_cut_off_daemon)

BOOST_FIXTURE_TEST_SUITE(asked_for_an_account_with_a_limit, Fixture)

BOOST_AUTO_TEST_CASE(serves_it_up_to_the_limit)
{
    BOOST_TEST(checkStaleness(*records_, AccountId("press"), 60s).has_value());
}

BOOST_AUTO_TEST_CASE(refuses_it_beyond_the_limit)
{
    BOOST_TEST(checkStaleness(*records_, AccountId("press"), 60001ms).error() == ErrorCode::RecordsTooOld);
}

BOOST_AUTO_TEST_CASE(serves_open_routes_all_the_same)
{
    BOOST_TEST(checkStaleness(*records_, AccountId(), 1h).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
