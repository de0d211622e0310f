#include <boost/test/unit_test.hpp>

#include "answers/brokencall.h"
#include "store/httpstore.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto CallTimeout = 30s;
constexpr auto BeforeTimeout = 10s;

const std::string Written = R"({"revision":412})";

/// A conditional write of a value of this size. What a broken answer made of it is unknown.
BrokenCall<StoreRevision> write(std::size_t size)
{
    return { ErrorCode::StoreUnavailable, BeforeTimeout, [size](EventLoop &loop, std::uint16_t port, auto reply) {
                auto store = std::make_shared<HttpStore>(loop, "127.0.0.1", port, CallTimeout);
                StoreWrite change;
                change.key_ = "k";
                change.value_ = std::string(size, 'v');
                store->compareAndSwap(change, std::move(reply));
                return store;
            } };
}

} // namespace

// Guards against a store in trouble whose broken answer is taken as an answer.
BOOST_AUTO_TEST_SUITE(a_broken_answer_of_the_store)

BOOST_AUTO_TEST_SUITE(ends_the_call_as_it_is_read)

BOOST_AUTO_TEST_CASE(if_its_status_is_invalid)
{
    write(1).checkFails(brokenanswers::withInvalidStatus({}, Written));
}

BOOST_AUTO_TEST_CASE(if_a_field_name_is_invalid)
{
    write(1).checkFails(brokenanswers::withInvalidFieldName({}, Written));
}

BOOST_AUTO_TEST_CASE(if_a_line_of_its_head_is_invalid)
{
    write(1).checkFails(brokenanswers::withInvalidHeadLine({}, Written));
}

BOOST_AUTO_TEST_CASE(if_it_is_cut_off_before_the_upload_is_written)
{
    write(brokenanswers::LongUpload).checkFails(brokenanswers::cutOff("HTTP/1.1 200 OK\r\n\r\n" + Written));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
