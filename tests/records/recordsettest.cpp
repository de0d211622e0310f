#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/sha256.h"
#include "records/change.h"
#include "records/recordset.h"

using namespace cowsliphead;

namespace
{

Change put(Revision revision, const std::string &kind, const std::string &name, const std::string &fields)
{
    Change change;
    change.revision_ = revision;
    change.key_ = RecordKey{ kind, name };
    change.text_ = R"({"schema": 2, "kind": ")" + kind + R"(", "name": ")" + name + "\"" + fields + "}";
    return change;
}

Change withdrawal(Revision revision, const std::string &kind, const std::string &name)
{
    Change change;
    change.revision_ = revision;
    change.action_ = ChangeAction::Withdraw;
    change.key_ = RecordKey{ kind, name };
    return change;
}

std::string engineFields(const std::string &model)
{
    return R"(, "host": "127.0.0.1", "port": 1, "failureDomain": "a", "models": [")" + model + "\"]";
}

std::string routeFields(const std::string &prefix)
{
    return R"(, "pathPrefix": ")" + prefix + R"(", "service": "echo")";
}

/// The longest of the prefixes that the path starts with; empty if there is none.
std::string longestPrefixByLinearSearch(const std::vector<std::string> &prefixes, const std::string &path)
{
    std::string best;
    for (const auto &prefix : prefixes) {
        if (path.starts_with(prefix) && prefix.size() > best.size()) {
            best = prefix;
        }
    }
    return best;
}

struct Fixture {
    void apply(const Change &change)
    {
        records_ = records_->after(change);
    }

    std::shared_ptr<const RecordSet> records_ = std::make_shared<const RecordSet>();
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_record_set)

BOOST_FIXTURE_TEST_SUITE(to_which_a_change_is_applied, Fixture)

BOOST_AUTO_TEST_CASE(is_not_modified)
{
    apply(put(1, "account", "press", ""));
    const auto before = records_;
    apply(withdrawal(2, "account", "press"));
    BOOST_TEST(before->account(AccountId("press")) != nullptr);
    BOOST_TEST(records_->account(AccountId("press")) == nullptr);
}

BOOST_AUTO_TEST_CASE(shares_the_unchanged_records)
{
    apply(put(1, "account", "press", ""));
    const auto *before = records_->account(AccountId("press"));
    apply(put(2, "account", "sheets", ""));
    BOOST_TEST(records_->account(AccountId("press")) == before);
}

BOOST_AUTO_TEST_CASE(ignores_a_text_that_names_another_record)
{
    auto change = put(1, "account", "press", "");
    change.key_.name_ = "sheets";
    apply(change);
    BOOST_TEST(records_->revision() == 1U);
    BOOST_TEST(records_->all().empty());
}

RC_BOOST_FIXTURE_PROP(has_the_same_accounts_as_a_plain_map, Fixture, (const std::vector<std::pair<std::uint8_t, bool>> &steps))
{
    std::map<std::string, bool> model;
    Revision revision = 0;
    for (const auto &[number, isPut] : steps) {
        const auto name = "account" + std::to_string(number);
        ++revision;
        apply(isPut ? put(revision, "account", name, "") : withdrawal(revision, "account", name));
        isPut ? static_cast<void>(model[name] = true) : static_cast<void>(model.erase(name));
    }
    RC_ASSERT(records_->allOf<AccountRecord>().size() == model.size());
    for (const auto &[name, isThere] : model) {
        RC_ASSERT(records_->account(AccountId(name)) != nullptr);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(asked_for_endpoints, Fixture)

BOOST_AUTO_TEST_CASE(lists_an_engine_under_its_new_model_only)
{
    apply(put(1, "endpoint", "engine1", engineFields("small")));
    apply(put(2, "endpoint", "engine1", engineFields("large")));
    BOOST_TEST(records_->enginesOf(ModelId("small")).empty());
    BOOST_TEST(records_->enginesOf(ModelId("large")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(omits_a_withdrawn_one)
{
    apply(put(1, "endpoint", "engine1", engineFields("small")));
    apply(withdrawal(2, "endpoint", "engine1"));
    BOOST_TEST(records_->enginesOf(ModelId("small")).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(asked_for_a_route, Fixture)

RC_BOOST_PROP(finds_the_longest_prefix, ())
{
    const auto part = rc::gen::container<std::string>(rc::gen::elementOf(std::string("/ab")));
    const auto prefixes = *rc::gen::container<std::vector<std::string>>(part);
    const auto path = "/" + *part;
    std::vector<std::string> absolute;
    auto records = std::make_shared<const RecordSet>();
    for (const auto &prefix : prefixes) {
        absolute.push_back("/" + prefix);
        records = records->after(put(absolute.size(), "route", "r" + std::to_string(absolute.size()), routeFields(absolute.back())));
    }
    const auto *found = records->routeFor(path);
    RC_ASSERT((found == nullptr ? std::string() : found->pathPrefix_) == longestPrefixByLinearSearch(absolute, path));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
