#pragma once

#include <iostream>
#include <string>
#include <utility>

#include "gateway/gatewaydaemon.h"
#include "gateway/parsegatewaysettings.h"
#include "logs/logsetup.h"
#include "operate/exitcode.h"
#include "operate/loadsettings.h"
#include "operate/readfile.h"
#include "operate/stopsignal.h"

namespace cowsliphead
{

/// Takes a changed settings file into use; one that cannot be read leaves the settings as they are. Thread safety: owner only.
template <PlatformAdapter P>
void reloadSettings(const std::string &file, std::string &textInUse, GatewayDaemon<P> &daemon)
{
    const auto text = readFile(file);
    if (!text) {
        // Logged once, not at each try.
        if (!std::exchange(textInUse, {}).empty()) {
            logEvent(LogEvent::SettingsNotReloaded, { { "file", file }, { "error", text.error().message() } });
        }
        return;
    }
    if (*text == textInUse) {
        return;
    }
    textInUse = *text;
    const auto settings = parseGatewaySettings(*text);
    if (!settings) {
        logEvent(LogEvent::SettingsNotReloaded, { { "file", file }, { "error", settings.error().describe() } });
        return;
    }
    daemon.reload(*settings);
    logEvent(LogEvent::SettingsReloaded, { { "file", file } });
}

/// Runs a gateway by a settings file until a signal stops it. Returns the exit code. Precondition: stopSignal was made before any other
/// thread, the log's included, so that no signal ends the process out of order.
template <PlatformAdapter P>
int runGatewayProcess(const std::string &file, const StopSignal &stopSignal)
{
    /// The file may change without a signal; a change is in use within this time.
    constexpr std::chrono::milliseconds SettingsInterval{ 1000 };
    const auto settings = loadSettings(file, parseGatewaySettings);
    if (!settings) {
        return exitcode::WrongInput;
    }
    auto textInUse = readFile(file).value_or(std::string());
    setLogInstance(settings->gateway_.instance_.value());
    GatewayDaemon<P> daemon;
    const auto port = daemon.start(*settings);
    if (!port) {
        std::cerr << "cowsliphead: cannot start: " << port.error().message() << "\n";
        return exitcode::Failed;
    }
    stopSignal.wait([&] { reloadSettings(file, textInUse, daemon); }, SettingsInterval);
    daemon.drain();
    return exitcode::Success;
}

} // namespace cowsliphead
