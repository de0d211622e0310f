#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "duty/scalebasecodec.h"
#include "duty/servicescaleload.h"

using namespace cowsliphead;

namespace
{

EndpointEntry engine(const std::string &id, EngineStage stage)
{
    EndpointEntry entry;
    entry.id_ = EndpointId(id);
    entry.service_ = ServiceName("models");
    entry.stage_ = stage;
    entry.slots_ = 10;
    return entry;
}

EndpointLoads loadsOf(std::vector<EndpointLoad> loads)
{
    std::sort(loads.begin(), loads.end());
    return loads;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_load_of_a_service)

BOOST_AUTO_TEST_CASE(counts_slots_in_use_of_endpoints_that_leave_too)
{
    // Guards against a need that falls while endpoints are reclaimed: others will have to do their work.
    auto leaving = engine("b", EngineStage::Decode);
    leaving.isLeaving_ = true;
    const auto loads =
        loadsOf({ { endpointKeyOf(EndpointId("a")), 5, 0 }, { endpointKeyOf(leaving.id_), 10, 0 }, { endpointKeyOf(EndpointId("other")), 7, 0 } });
    BOOST_TEST((scaleLoadOf(ServiceName("models"), { engine("a", EngineStage::Decode), leaving }, loads) == ScaleLoad{ 1.5, 0 }));
}

BOOST_AUTO_TEST_CASE(counts_prefill_engines_that_have_work_or_the_seconds_of_work_in_their_queues)
{
    const std::vector<EndpointEntry> engines{ engine("a", EngineStage::Prefill), engine("b", EngineStage::Prefill), engine("c", EngineStage::Prefill) };
    const auto running = loadsOf({ { endpointKeyOf(EndpointId("a")), 1, 0 }, { endpointKeyOf(EndpointId("b")), 2, 4000 } });
    BOOST_TEST((scaleLoadOf(ServiceName("models"), engines, running) == ScaleLoad{ 0, 2 }));
    const auto queued = loadsOf({ { endpointKeyOf(EndpointId("a")), 1, 225000 } });
    BOOST_TEST((scaleLoadOf(ServiceName("models"), engines, queued) == ScaleLoad{ 0, 5 }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_stored_plan)

BOOST_AUTO_TEST_CASE(is_read_as_written)
{
    const ScaleRecord record{ { { { ServiceName("models"), FailureDomain("a") }, 6 }, { { ServiceName("words"), FailureDomain("a") }, 2 } },
                              { { { ServiceName("models"), FailureDomain("a") }, 11 } } };
    const auto read = scalebasecodec::fromText(scalebasecodec::toText(record));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == record));
}

BOOST_AUTO_TEST_CASE(of_an_earlier_version_holds_the_base_alone)
{
    const auto read = scalebasecodec::fromText(R"([{"service":"models","failureDomain":"a","count":6}])");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->base_.size() == 1U);
    BOOST_TEST(read->planned_.empty());
}

BOOST_AUTO_TEST_SUITE_END()
