#pragma once

#include <iostream>
#include <optional>
#include <string>

#include "operate/readfile.h"

namespace cowsliphead
{

/// Reads and parses a settings file. An error is written to standard error, and nothing is returned. Thread safety: any thread.
template <typename Parse>
auto loadSettings(const std::string &file, Parse parse) -> std::optional<typename decltype(parse(std::string()))::value_type>
{
    const auto text = readFile(file);
    if (!text) {
        std::cerr << "cowsliphead: " << file << ": " << text.error().message() << "\n";
        return std::nullopt;
    }
    auto settings = parse(*text);
    if (!settings) {
        std::cerr << "cowsliphead: " << file << ": " << settings.error().describe() << "\n";
        return std::nullopt;
    }
    return std::move(*settings);
}

} // namespace cowsliphead
