// Reader of the settings file. Each section lists its members once; the same list serves to read them and to find
// unknown ones.

#include "daemon/Settings.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <concepts>
#include <limits>

namespace sapphiredale::daemon {

namespace {

    namespace json = boost::json;

    /// Reads the members of one JSON object and collects the faults.
    class SectionReader {
    public:
        SectionReader(const json::object& object, std::string path, std::vector<SettingsFault>& faults)
            : m_object(object)
            , m_path(std::move(path))
            , m_faults(faults)
        {
        }

        /// Reports the members that no call has named.
        void finish()
        {
            for (const auto& member : m_object) {
                if (std::find(m_known.begin(), m_known.end(), member.key()) == m_known.end())
                    fault(member.key(), "unknown member; known here: " + knownMembers());
            }
        }

        template <typename T> void required(std::string_view name, T& value)
        {
            if (const json::value* member = find(name))
                read(name, *member, value);
            else
                fault(name, "is missing");
        }

        template <typename T> void optional(std::string_view name, T& value)
        {
            if (const json::value* member = find(name))
                read(name, *member, value);
        }

        /// Reads a number that must lie within the given bounds.
        template <std::unsigned_integral T> void bounded(std::string_view name, T& value, T least, T greatest)
        {
            const json::value* member = find(name);
            if (!member)
                return;
            std::uint64_t number = 0;
            if (!readUnsigned(*member, number) || number < least || number > greatest)
                fault(name, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(greatest));
            else
                value = static_cast<T>(number);
        }

        /// Reads a nested object with the given function.
        template <typename Function> void section(std::string_view name, bool isRequired, Function function)
        {
            const json::value* member = find(name);
            if (!member) {
                if (isRequired)
                    fault(name, "is missing");
                return;
            }
            if (!member->is_object()) {
                fault(name, "must be an object");
                return;
            }
            SectionReader reader(member->get_object(), pathOf(name), m_faults);
            function(reader);
            reader.finish();
        }

        /// Reads an optional array of objects; the function reads one of them into a new element.
        template <typename T, typename Function>
        void sections(std::string_view name, std::vector<T>& values, Function function)
        {
            const json::value* member = find(name);
            if (!member)
                return;
            if (!member->is_array()) {
                fault(name, "must be an array");
                return;
            }
            const json::array& array = member->get_array();
            for (std::size_t i = 0; i < array.size(); ++i) {
                const std::string element = std::string(name) + "/" + std::to_string(i);
                if (!array[i].is_object()) {
                    fault(element, "must be an object");
                    continue;
                }
                SectionReader reader(array[i].get_object(), pathOf(element), m_faults);
                function(reader, values.emplace_back());
                reader.finish();
            }
        }

        void fault(std::string_view name, std::string problem)
        {
            m_faults.push_back({ pathOf(name), std::move(problem) });
        }

    private:
        const json::value* find(std::string_view name)
        {
            m_known.emplace_back(name);
            return m_object.if_contains(name);
        }

        std::string pathOf(std::string_view name) const { return m_path + "/" + std::string(name); }

        std::string knownMembers() const
        {
            std::string text;
            for (const std::string& name : m_known)
                text += (text.empty() ? "" : ", ") + name;
            return text;
        }

        static bool readUnsigned(const json::value& value, std::uint64_t& number)
        {
            if (value.is_uint64())
                number = value.get_uint64();
            else if (value.is_int64() && value.get_int64() >= 0)
                number = static_cast<std::uint64_t>(value.get_int64());
            else
                return false;
            return true;
        }

        void read(std::string_view name, const json::value& member, std::string& value)
        {
            if (member.is_string())
                value = member.get_string();
            else
                fault(name, "must be a string");
        }

        template <typename Tag> void read(std::string_view name, const json::value& member, Identifier<Tag>& value)
        {
            if (member.is_string() && !member.get_string().empty())
                value = Identifier<Tag>(std::string(member.get_string()));
            else
                fault(name, "must be a non-empty string");
        }

        void read(std::string_view name, const json::value& member, Endpoint& value)
        {
            if (!member.is_string() || !parseEndpoint(member.get_string(), value))
                fault(name, "must be \"address:port\" with a numeric IP address");
        }

        const json::object& m_object;
        std::string m_path;
        std::vector<SettingsFault>& m_faults;
        std::vector<std::string> m_known;
    };

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
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    boost::system::error_code error;
    json::stream_parser parser({}, options);
    std::size_t consumed = parser.write(text.data(), text.size(), error);
    if (!error)
        parser.finish(error);
    if (error) {
        const auto line = 1
            + std::count(
                text.begin(), text.begin() + static_cast<std::ptrdiff_t>(std::min(consumed, text.size())), '\n');
        return std::vector<SettingsFault> { { "/",
            "is not valid JSON near line " + std::to_string(line) + ": " + error.message() } };
    }
    const json::value root = parser.release();
    if (!root.is_object())
        return std::vector<SettingsFault> { { "/", "must be an object" } };

    Settings settings;
    std::vector<SettingsFault> faults;
    SectionReader reader(root.get_object(), "", faults);
    readAll(reader, settings);
    reader.finish();
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
