#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "records/recordset.h"
#include "spreadworld.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

Change accountPut(const std::string &name)
{
    Change change;
    change.changeId_ = ChangeId("change-of-" + name);
    change.key_ = RecordKey{ "account", name };
    change.text_ = R"({"schema": 2, "kind": "account", "name": ")" + name + "\"}";
    return change;
}

/// How often each change stands in the log.
std::map<std::string, int> entriesOf(SpreadWorld &world)
{
    std::map<std::string, int> counts;
    for (const auto &entry : world.memory_.list(RecordLogPrefix, RecordLogPrefix, 1000, world.clock_.now())) {
        ++counts[decodeChange(1, entry.value_)->changeId_.value()];
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(operators_who_write_at_the_same_time)

BOOST_AUTO_TEST_SUITE(while_answers_are_lost)

RC_BOOST_PROP(are_told_the_revision_at_which_their_change_stands_once, (const std::vector<bool> &losses))
{
    SpreadWorld world(0, 1);
    std::map<std::string, Revision> told;
    for (std::size_t index = 0; index < losses.size() % 12; ++index) {
        const auto change = accountPut("a" + std::to_string(index));
        world.operatorPath_.losesWriteAnswers_ = losses[index];
        world.write(change, [&told, id = change.changeId_.value()](const Result<Revision> &revision) {
            RC_ASSERT(revision.has_value());
            told[id] = *revision;
        });
        world.run(3ms);
    }
    world.operatorPath_.losesWriteAnswers_ = false;
    world.run(60s);
    const auto entries = entriesOf(world);
    RC_ASSERT(told.size() == losses.size() % 12);
    for (const auto &[id, revision] : told) {
        RC_ASSERT(entries.at(id) == 1);
        const auto entry = world.memory_.read(recordLogKey(revision), world.clock_.now());
        RC_ASSERT(decodeChange(revision, entry->value_)->changeId_.value() == id);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
