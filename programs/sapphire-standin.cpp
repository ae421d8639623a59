// The stand-in program: serves the platform's protocols on loopback ports until it receives SIGINT or SIGTERM.

#include "standin/Standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "Settings file, JSON with comments; examples/standin.jsonc shows every member");

namespace {

using namespace sapphiredale;

Result<standin::StandinSettings> loadSettings(const std::string& path)
{
    const std::ifstream file(path);
    if (!file)
        return Error { ErrorKind::NotFound, "cannot read the settings file \"" + path + '"' };
    std::stringstream text;
    text << file.rdbuf();
    return standin::parseStandinSettings(text.str());
}

int fail(const Error& error)
{
    std::cerr << "sapphire-standin: " << error.m_detail << '\n';
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the platform: log, host list, workers and minions with faults by request");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = loadSettings(FLAGS_settings);
    if (!succeeded(settings))
        return fail(errorOf(settings));
    standin::Standin standin(valueOf(settings));
    if (const auto started = standin.start(); !succeeded(started))
        return fail(errorOf(started));
    std::cout << "log " << standin.logAddress() << "\nhosts " << standin.hostsAddress() << "\nworkers "
              << standin.workersAddress() << "\ncontrol " << standin.controlAddress() << std::endl;
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([](const boost::system::error_code&, int) {});
    context.run();
    standin.stop();
    return 0;
}
