#pragma once

namespace cowsliphead::exitcode
{

constexpr int Success = 0;

/// The command failed.
constexpr int Failed = 1;

/// The command line, a settings file or a record is invalid; nothing was changed.
constexpr int WrongInput = 2;

} // namespace cowsliphead::exitcode
