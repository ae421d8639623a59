// The sapphiredale daemon: reads its settings, runs until SIGTERM or SIGINT, then stops in an orderly way.

#include "controller/Controller.h"
#include "daemon/Application.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>
#include <pthread.h>
#include <random>

DEFINE_string(settings, "", "path of the settings file (JSON with comments, see docs/OPERATIONS.md)");
DEFINE_string(site_settings, "", "path of the settings file for the users' platform (see docs/platform.md)");
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

/// Most lines of one event per log interval with site settings, where each request is logged on a line of its own.
constexpr std::uint32_t maxSiteLogLinesPerInterval = 1000;

/// The event log of a daemon; null, with a message, when it cannot be opened.
std::unique_ptr<observability::EventLog> openLog(
    const DaemonId& daemon, const daemon::LogSettings& settings, bool toOutput)
{
    observability::EventLogSettings logSettings;
    logSettings.m_daemon = daemon;
    logSettings.m_file = settings.m_file;
    logSettings.m_minimum = severityOf(settings.m_level);
    logSettings.m_toStandardOutput = toOutput;
    if (toOutput)
        logSettings.m_maxLinesPerInterval = maxSiteLogLinesPerInterval;
    auto log = observability::EventLog::open(logSettings);
    if (!succeeded(log)) {
        std::cerr << "sapphired: " << errorOf(log).m_detail << '\n';
        return nullptr;
    }
    return valueOf(std::move(log));
}

/// Text of the file; empty when it cannot be read.
std::string textOf(const std::string& path)
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

int run(const daemon::Settings& settings)
{
    auto log = openLog(settings.m_daemon, settings.m_log, false);
    if (!log)
        return 1;
    // Blocked before any thread starts, so that only sigwait receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    daemon::Application application(settings, randomSeed(), std::move(log));
    if (const Result<Unit> started = application.start(); !succeeded(started)) {
        std::cerr << "sapphired: " << errorOf(started).m_detail << '\n';
        return 1;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    application.shutDown();
    return 0;
}

int run(const controller::SiteSettings& settings)
{
    auto log = openLog(settings.m_daemon, settings.m_log, true);
    if (!log)
        return 1;
    controller::Controller controller(settings, randomSeed(), std::move(log),
        [] { return controller::parseSiteSettings(textOf(FLAGS_site_settings)); });
    if (const Result<Unit> started = controller.start(); !succeeded(started)) {
        std::cerr << "sapphired: " << errorOf(started).m_detail << '\n';
        return 1;
    }
    controller.run();
    // Exits without destructors: joining the threads of the log library can block forever when the process was starved
    // of processor time during the shutdown.
    std::cout.flush();
    std::_Exit(0);
}

/// Runs the daemon that the settings in the text describe; 2 when they have faults.
template <typename Settings>
int runChecked(const std::string& path, const std::variant<Settings, std::vector<daemon::SettingsFault>>& result)
{
    if (const auto* faults = std::get_if<std::vector<daemon::SettingsFault>>(&result)) {
        std::cerr << "sapphired: " << path << " has " << daemon::describe(*faults) << '\n';
        return 2;
    }
    return FLAGS_check_settings ? 0 : run(std::get<Settings>(result));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("the sapphiredale daemon\n  sapphired --settings FILE [--check_settings]\n"
                            "  sapphired --site_settings FILE [--check_settings]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string path = FLAGS_site_settings.empty() ? FLAGS_settings : FLAGS_site_settings;
    if (path.empty() || !std::ifstream(path)) {
        std::cerr << "sapphired: cannot read the settings file '" << path << "'; use --settings FILE\n";
        return 2;
    }
    const std::string text = textOf(path);
    if (!FLAGS_site_settings.empty())
        return runChecked(path, controller::parseSiteSettings(text));
    return runChecked(path, daemon::parseSettings(text));
}
