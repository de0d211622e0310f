#include <future>
#include <variant>

#include <boost/test/unit_test.hpp>

#include "task/task.h"

using namespace cowsliphead;

namespace
{

/// Adds up the numbers that it receives, and reports the sum on request.
class Adder
{
public:
    using Message = std::variant<int, std::promise<int>>;

    void receive(Message message)
    {
        if (auto *number = std::get_if<int>(&message)) {
            sum_ += *number;
        } else {
            std::get<std::promise<int>>(message).set_value(sum_);
        }
    }

private:
    int sum_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_task)

BOOST_AUTO_TEST_SUITE(that_is_sent_messages)

BOOST_AUTO_TEST_CASE(before_and_after_its_start_receives_all_in_order)
{
    constexpr int Count = 1000;
    Task<Adder> task;
    const auto address = task.address<int>();
    address.send(1);
    task.start([](EventLoop &) { return std::make_unique<Adder>(); });
    for (int index = 1; index < Count; ++index) {
        address.send(1);
    }
    std::promise<int> sumRequest;
    auto sum = sumRequest.get_future();
    task.send(std::move(sumRequest));
    BOOST_TEST(sum.get() == Count);
}

BOOST_AUTO_TEST_CASE(after_its_end_drops_them)
{
    Task<Adder> task;
    const auto address = task.address<int>();
    task.start([](EventLoop &) { return std::make_unique<Adder>(); });
    task.stop();
    BOOST_CHECK_NO_THROW(address.send(1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
