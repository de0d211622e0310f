#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead::benchrecords
{

/// The text of a client account's record. Thread safety: any thread.
std::string account(const std::string &name);

/// The text of a model's record. Thread safety: any thread.
std::string model(const std::string &name);

/// The text of an engine's record on the loopback address. Thread safety: any thread.
std::string engine(const std::string &name, std::uint16_t port, const std::string &model);

} // namespace cowsliphead::benchrecords
