#include "standin/storefault.h"

namespace cowsliphead
{

StoreFault standinFaultFromName(const std::string &name)
{
    if (name == "down") {
        return StoreFault::Down;
    }
    if (name == "slow") {
        return StoreFault::Slow;
    }
    if (name == "lose-answers") {
        return StoreFault::LoseAnswers;
    }
    return StoreFault::None;
}

} // namespace cowsliphead
