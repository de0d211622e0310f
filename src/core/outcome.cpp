#include "core/outcome.h"

namespace cowsliphead
{

const char *outcomeName(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::Run:
        return "run";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace cowsliphead
