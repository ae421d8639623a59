// Reader of the settings file. Each section lists its members once; the same list serves to read them and to find
// unknown ones.

#include "daemon/Settings.h"

#include "daemon/SettingsReader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace sapphiredale::daemon {

namespace {

    void readListeners(SectionReader& reader, ListenerSettings& settings)
    {
        reader.required("callers", settings.m_callers);
        reader.required("operators", settings.m_operators);
        reader.required("peers", settings.m_peers);
        reader.required("relay", settings.m_relay);
    }

    void readPeer(SectionReader& reader, PeerSettings& settings)
    {
        reader.required("daemon", settings.m_daemon);
        reader.required("failureDomain", settings.m_failureDomain);
        reader.required("address", settings.m_address);
    }

    void readPlatform(SectionReader& reader, PlatformSettings& settings)
    {
        reader.required("log", settings.m_log);
        reader.required("hostList", settings.m_hostList);
        reader.optional("configurationStream", settings.m_configurationStream);
        reader.bounded("retentionSeconds", settings.m_retentionSeconds, 60U, 366U * 86400U);
    }

    void readLeases(SectionReader& reader, LeaseSettings& settings)
    {
        reader.bounded("workerTtlMs", settings.m_workerTtlMs, 500U, 600000U);
        reader.bounded("workerWaitMs", settings.m_workerWaitMs, 50U, 300000U);
        reader.bounded("minionTtlMs", settings.m_minionTtlMs, 500U, 600000U);
        reader.bounded("minionWaitMs", settings.m_minionWaitMs, 50U, 300000U);
        reader.bounded("marginMs", settings.m_marginMs, 10U, 60000U);
        // One missed renewal must not end a lease: two polls and the margin have to fit into it.
        if (settings.m_workerTtlMs < 2 * settings.m_workerWaitMs + settings.m_marginMs)
            reader.fault("workerTtlMs", "must be at least twice workerWaitMs plus marginMs");
        if (settings.m_minionTtlMs < 2 * settings.m_minionWaitMs + settings.m_marginMs)
            reader.fault("minionTtlMs", "must be at least twice minionWaitMs plus marginMs");
    }

    void readLimits(SectionReader& reader, LimitSettings& settings)
    {
        reader.bounded("maxBodyBytes", settings.m_maxBodyBytes, std::uint64_t { 1024 }, std::uint64_t { 1 } << 34);
        reader.bounded("maxHeaderBytes", settings.m_maxHeaderBytes, 1024U, 1U << 20);
        reader.bounded("headerTimeoutMs", settings.m_headerTimeoutMs, 100U, 600000U);
        reader.bounded("requestTimeoutMs", settings.m_requestTimeoutMs, 100U, 600000U);
        reader.bounded("memoryMb", settings.m_memoryMb, 64U, 1048576U);
        reader.bounded("defaultRequestDeadlineMs", settings.m_defaultRequestDeadlineMs, 10U, 3600000U);
        reader.bounded("maxRequestDeadlineMs", settings.m_maxRequestDeadlineMs, 10U, 86400000U);
        reader.bounded("maxQueuedRequestsPerTeam", settings.m_maxQueuedRequestsPerTeam, 1U, 1000000U);
        reader.bounded("maxTasksPerJob", settings.m_maxTasksPerJob, 1U, 100000U);
        reader.bounded("drainMs", settings.m_drainMs, 0U, 3600000U);
        if (settings.m_defaultRequestDeadlineMs > settings.m_maxRequestDeadlineMs)
            reader.fault("defaultRequestDeadlineMs", "must not exceed maxRequestDeadlineMs");
    }

    void readLog(SectionReader& reader, LogSettings& settings)
    {
        reader.optional("level", settings.m_level);
        reader.optional("file", settings.m_file);
        constexpr std::string_view levels[] = { "debug", "info", "warning", "error" };
        if (std::find(std::begin(levels), std::end(levels), settings.m_level) == std::end(levels))
            reader.fault("level", "must be one of debug, info, warning, error");
    }

    void readAll(SectionReader& reader, Settings& settings)
    {
        reader.required("daemon", settings.m_daemon);
        reader.required("failureDomain", settings.m_failureDomain);
        reader.required("region", settings.m_region);
        reader.section("listeners", true, [&](SectionReader& r) { readListeners(r, settings.m_listeners); });
        reader.sections("peers", settings.m_peers, readPeer);
        reader.section("platform", true, [&](SectionReader& r) { readPlatform(r, settings.m_platform); });
        reader.section("leases", false, [&](SectionReader& r) { readLeases(r, settings.m_leases); });
        reader.section("limits", false, [&](SectionReader& r) { readLimits(r, settings.m_limits); });
        reader.section("log", false, [&](SectionReader& r) { readLog(r, settings.m_log); });
        reader.bounded("threads", settings.m_threads, 1U, 64U);
    }

} // namespace

std::string Endpoint::text() const
{
    const bool isV6 = m_address.find(':') != std::string::npos;
    return (isV6 ? "[" + m_address + "]" : m_address) + ":" + std::to_string(m_port);
}

bool parseEndpoint(std::string_view text, Endpoint& endpoint)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::string_view address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string(address), error);
    const std::string_view port = text.substr(colon + 1);
    std::uint16_t number = 0;
    const auto [end, code] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (error || code != std::errc {} || end != port.data() + port.size() || number == 0)
        return false;
    endpoint = { std::string(address), number };
    return true;
}

SettingsResult parseSettings(std::string_view text)
{
    Settings settings;
    std::vector<SettingsFault> faults = readDocument(text, [&](SectionReader& reader) { readAll(reader, settings); });
    if (!faults.empty())
        return faults;
    return settings;
}

std::string describe(const std::vector<SettingsFault>& faults)
{
    std::string text = std::to_string(faults.size()) + (faults.size() == 1 ? " fault:" : " faults:");
    for (const SettingsFault& fault : faults)
        text += "\n  " + fault.m_path + ": " + fault.m_problem;
    return text;
}

} // namespace sapphiredale::daemon
