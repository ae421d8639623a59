// The sapphiredale daemon: reads its settings, runs until SIGTERM or SIGINT, then stops in an orderly way.

#include "daemon/Application.h"

#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>
#include <pthread.h>
#include <random>

DEFINE_string(settings, "", "path of the settings file (JSON with comments, see docs/OPERATIONS.md)");
DEFINE_bool(check_settings, false, "verify the settings file and exit");

using namespace sapphiredale;

namespace {

observability::Severity severityOf(const std::string& level)
{
    for (const auto severity : { observability::Severity::Debug, observability::Severity::Info,
             observability::Severity::Warning, observability::Severity::Error }) {
        if (observability::nameOf(severity) == level)
            return severity;
    }
    return observability::Severity::Info;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t { device() } << 32) | device();
}

int run(const daemon::Settings& settings)
{
    observability::EventLogSettings logSettings;
    logSettings.m_daemon = settings.m_daemon;
    logSettings.m_file = settings.m_log.m_file;
    logSettings.m_minimum = severityOf(settings.m_log.m_level);
    auto log = observability::EventLog::open(logSettings);
    if (!succeeded(log)) {
        std::cerr << "sapphired: " << errorOf(log).m_detail << '\n';
        return 1;
    }
    // Blocked before any thread starts, so that only sigwait receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    daemon::Application application(settings, randomSeed(), valueOf(std::move(log)));
    if (const Result<Unit> started = application.start(); !succeeded(started)) {
        std::cerr << "sapphired: " << errorOf(started).m_detail << '\n';
        return 1;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    application.shutDown();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("the sapphiredale daemon\n  sapphired --settings FILE [--check_settings]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ifstream file(FLAGS_settings);
    if (FLAGS_settings.empty() || !file) {
        std::cerr << "sapphired: cannot read the settings file '" << FLAGS_settings << "'; use --settings FILE\n";
        return 2;
    }
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const daemon::SettingsResult result = daemon::parseSettings(text);
    if (const auto* faults = std::get_if<std::vector<daemon::SettingsFault>>(&result)) {
        std::cerr << "sapphired: " << FLAGS_settings << " has " << daemon::describe(*faults) << '\n';
        return 2;
    }
    if (FLAGS_check_settings)
        return 0;
    return run(std::get<daemon::Settings>(result));
}
