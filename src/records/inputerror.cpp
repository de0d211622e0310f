#include "records/inputerror.h"

namespace cowsliphead
{

std::string InputError::describe() const
{
    return code_.message() + " at " + place_ + ": found " + found_ + ", expected " + expected_;
}

} // namespace cowsliphead
