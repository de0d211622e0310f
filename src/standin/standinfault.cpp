#include "standin/standinfault.h"

namespace cowsliphead
{

StandinFault faultFromName(const std::string &name)
{
    if (name == "down") {
        return StandinFault::Down;
    }
    if (name == "slow") {
        return StandinFault::Slow;
    }
    if (name == "lose-answers") {
        return StandinFault::LoseAnswers;
    }
    return StandinFault::None;
}

} // namespace cowsliphead
