#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead::benchrecords
{

/// The JSON text of a client account record. Thread safety: any thread.
std::string account(const std::string &name);

/// The JSON text of a model record. Thread safety: any thread.
std::string model(const std::string &name);

/// The JSON text of an endpoint record for an engine on the loopback address. Thread safety: any thread.
std::string engine(const std::string &name, std::uint16_t port, const std::string &model);

} // namespace cowsliphead::benchrecords
