#pragma once

#include <iostream>
#include <string>
#include <utility>

#include "gateway/bufferlimit.h"
#include "gateway/gatewaydaemon.h"
#include "gateway/parsegatewaysettings.h"
#include "logs/logsetup.h"
#include "operate/exitcode.h"
#include "operate/loadsettings.h"
#include "operate/readfile.h"
#include "operate/stopsignal.h"

namespace cowsliphead
{

/// Logs the bounds of the settings file that are not in force. Thread safety: any thread.
inline void logRejectedBounds(const std::string &file, const GatewayDaemonSettings &settings)
{
    for (const auto &error : settings.rejected_) {
        logEvent(LogEvent::SettingRejected, { { "file", file }, { "error", error.describe() } });
    }
}

/// Applies a changed settings file; if it cannot be read or parsed, the current settings stay in use. Thread safety: owner only.
template <PlatformAdapter P>
void reloadSettings(const std::string &file, std::string &textInUse, GatewayDaemonSettings &inForce, GatewayDaemon<P> &daemon)
{
    const auto text = readFile(file);
    if (!text) {
        // Logs only the first failure, not every attempt.
        if (!std::exchange(textInUse, {}).empty()) {
            logEvent(LogEvent::SettingsNotReloaded, { { "file", file }, { "error", text.error().message() } });
        }
        return;
    }
    if (*text == textInUse) {
        return;
    }
    textInUse = *text;
    const auto settings = parseGatewaySettings(*text, inForce);
    if (!settings) {
        logEvent(LogEvent::SettingsNotReloaded, { { "file", file }, { "error", settings.error().describe() } });
        return;
    }
    logRejectedBounds(file, *settings);
    inForce = *settings;
    daemon.reload(*settings);
    logEvent(LogEvent::SettingsReloaded, { { "file", file } });
}

/// Runs a gateway with a settings file until a signal stops it. Returns the exit code. Precondition: stopSignal was created before any
/// other thread, including the log's; otherwise a signal could end the process without a drain.
template <PlatformAdapter P>
int runGatewayProcess(const std::string &file, const StopSignal &stopSignal)
{
    /// The file may change without a signal; it is checked at this interval.
    constexpr std::chrono::milliseconds SettingsInterval{ 1000 };
    returnLargeBuffers();
    auto settings = loadSettings(file, [](const std::string &text) { return parseGatewaySettings(text); });
    if (!settings) {
        return exitcode::WrongInput;
    }
    auto textInUse = readFile(file).value_or(std::string());
    setLogInstance(settings->gateway_.instance_.value());
    logRejectedBounds(file, *settings);
    GatewayDaemon<P> daemon;
    const auto port = daemon.start(*settings);
    if (!port) {
        std::cerr << "cowsliphead: cannot start: " << port.error().message() << "\n";
        return exitcode::Failed;
    }
    stopSignal.wait([&] { reloadSettings(file, textInUse, *settings, daemon); }, SettingsInterval);
    daemon.drain();
    return exitcode::Success;
}

} // namespace cowsliphead
