#pragma once

namespace cowsliphead::exitcode
{

constexpr int Success = 0;

/// The command could not be carried out.
constexpr int Failed = 1;

/// The command line, a settings file or a record is wrong; nothing was applied.
constexpr int WrongInput = 2;

} // namespace cowsliphead::exitcode
