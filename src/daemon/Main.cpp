// Entry point of the daemon: settings, signals and the order of its end.

#include "daemon/Daemon.h"
#include "daemon/Log.h"
#include "daemon/Settings.h"

#include <csignal>
#include <ctime>
#include <iostream>
#include <tclap/ArgException.h>

using namespace jacinthspindle;
using namespace jacinthspindle::daemon;

namespace {

// Blocks the signals in this thread and all that start later, so that only the loop below receives them.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

// Returns whether a signal arrived within a tenth of a second.
bool waitForSignal(const sigset_t& signals)
{
    constexpr long tenthOfSecond = 100'000'000;
    timespec limit { 0, tenthOfSecond };
    return sigtimedwait(&signals, nullptr, &limit) > 0;
}

int fail(const Reason& reason)
{
    std::cerr << "jacinthspindled: " << resultName(reason.code) << " (" << static_cast<unsigned>(reason.code)
              << "): " << reason.text << '\n';
    return exitStatus(reason.code);
}

int run(const Settings& settings)
{
    auto signals = blockSignals();
    startLog(settings.logLevel);
    Daemon daemon(settings);
    Reason reason;
    if (!daemon.start(reason))
        return fail(reason);
    bool isEnding = false;
    while (true) {
        if (waitForSignal(signals)) {
            if (isEnding)
                daemon.logRunning();
            isEnding = true;
            daemon.beginDrain();
        }
        if (daemon.advanceDrain() && isEnding)
            break;
    }
    daemon.stop();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<SettingFault> faults;
    try {
        auto settings = readSettings({ argv, argv + argc }, faults);
        if (settings)
            return run(*settings);
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus(); // After --help or --version.
    }
    std::cerr << describeFaults(faults);
    return exitStatus(ResultCode::SettingsInvalid);
}
