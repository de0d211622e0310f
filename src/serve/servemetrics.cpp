#include "serve/servemetrics.h"

namespace cowsliphead
{

std::string ServeMetrics::toText() const
{
    return requests_.toText() + attempts_.toText() + firstByte_.toText() + duration_.toText();
}

} // namespace cowsliphead
