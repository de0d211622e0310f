#include "records/mistake.h"

namespace cowsliphead
{

std::string Mistake::describe() const
{
    return code_.message() + " at " + location_ + ": found " + found_ + ", expected " + expected_;
}

} // namespace cowsliphead
