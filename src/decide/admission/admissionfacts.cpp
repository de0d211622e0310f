#include "decide/admission/admissionfacts.h"

#include <algorithm>

namespace cowsliphead
{

std::chrono::milliseconds AdmissionFacts::timeLimit() const
{
    const auto answerLimit = std::min(callerTimeLeft_, routeTimeLeft_);
    return std::max(std::chrono::milliseconds(0), std::min(answerLimit, patienceLeft_.value_or(answerLimit)));
}

} // namespace cowsliphead
