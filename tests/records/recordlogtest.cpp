#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "records/recordlog.h"
#include "records/recordset.h"
#include "records/snapshotassembler.h"
#include "records/snapshotsource.h"

using namespace cowsliphead;

namespace
{

constexpr Revision LastRevision = 40;

Change makeChange(Revision revision)
{
    Change change;
    change.revision_ = revision;
    change.key_ = RecordKey{ "account", "a" + std::to_string(revision % 7) };
    change.action_ = revision % 3 == 0 ? ChangeAction::Withdraw : ChangeAction::Put;
    change.text_ = R"({"schema": 2, "kind": "account", "name": ")" + change.key_.name_ + R"(", "weight": )" + std::to_string(revision) + "}";
    return change;
}

RecordLog makeLogUpTo(Revision revision)
{
    RecordLog log;
    while (log.revision() < revision) {
        log.apply(makeChange(log.revision() + 1));
    }
    return log;
}

std::vector<std::string> textsOf(const RecordSet &records)
{
    std::vector<std::string> texts;
    for (const auto &[key, record] : records.all()) {
        texts.push_back(record->text_);
    }
    return texts;
}

/// Transfers the records in parts, as between two daemons, and returns the assembled snapshot.
RecordSnapshot transferInParts(const RecordSet &records, std::size_t partBytes)
{
    SnapshotSource source;
    SnapshotAssembler assembly;
    RecordSnapshot whole;
    while (!whole) {
        whole = assembly.add(source.part(records, assembly.revision(), assembly.lastKey(), partBytes, MonotonicTime()));
    }
    return whole;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_record_log)

BOOST_AUTO_TEST_SUITE(given_old_and_new_changes_and_snapshots_in_any_order)

RC_BOOST_PROP(never_goes_back_and_equals_the_changes_applied_in_order, (const std::vector<std::pair<bool, std::uint8_t>> &steps))
{
    RecordLog log;
    for (const auto &[isSnapshot, number] : steps) {
        const Revision revision = 1 + number % LastRevision;
        const auto before = log.revision();
        if (isSnapshot) {
            log.install(transferInParts(*makeLogUpTo(revision).snapshot(), 100));
        } else {
            log.apply(makeChange(number % 2 == 0 ? revision : before + 1));
        }
        RC_ASSERT(log.revision() >= before);
        RC_ASSERT(textsOf(*log.snapshot()) == textsOf(*makeLogUpTo(log.revision()).snapshot()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(asked_for_changes_after_a_revision)

BOOST_AUTO_TEST_CASE(returns_consecutive_changes)
{
    const auto changes = makeLogUpTo(LastRevision).changesAfter(LastRevision - 3, 1000000);
    BOOST_REQUIRE(changes.has_value());
    BOOST_REQUIRE(changes->size() == 3U);
    BOOST_TEST(changes->front().revision_ == LastRevision - 2);
}

BOOST_AUTO_TEST_CASE(returns_nothing_if_it_started_from_a_later_snapshot)
{
    RecordLog log;
    log.install(makeLogUpTo(LastRevision).snapshot());
    BOOST_TEST(!log.changesAfter(LastRevision - 3, 1000000).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
