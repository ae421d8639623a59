// Parsing of the settings file of a daemon on the users' platform.

#include "controller/SiteSettings.h"

#include "daemon/SettingsReader.h"

namespace sapphiredale::controller {

using daemon::SectionReader;

namespace {

    void readAddress(SectionReader& reader, std::string_view name, bool isRequired, std::string& value)
    {
        daemon::Endpoint endpoint;
        if (isRequired)
            reader.required(name, endpoint);
        else
            reader.optional(name, endpoint);
        if (endpoint.m_port != 0)
            value = endpoint.text();
    }

    /// Reads a positive number and scales it to an integer.
    void readPositive(SectionReader& reader, std::string_view name, double scale, std::uint32_t& value)
    {
        constexpr double greatest = 1e6;
        double number = value / scale;
        reader.optional(name, number);
        if (number <= 0 || number > greatest)
            reader.fault(name, "must be a number above 0 and up to 1000000");
        else
            value = static_cast<std::uint32_t>(number * scale);
    }

    void readMillis(
        SectionReader& reader, std::string_view name, Duration& value, std::uint32_t least, std::uint32_t most)
    {
        auto millis = static_cast<std::uint32_t>(millisecondsOf(value));
        reader.bounded(name, millis, least, most);
        value = std::chrono::milliseconds(millis);
    }

    void readAll(SectionReader& reader, SiteSettings& settings)
    {
        reader.required("daemon", settings.m_daemon);
        reader.required("failureDomain", settings.m_failureDomain);
        reader.section("listeners", true, [&](SectionReader& r) {
            readAddress(r, "callers", true, settings.m_callers);
            readAddress(r, "readiness", true, settings.m_readiness);
            readAddress(r, "inner", true, settings.m_inner);
            readAddress(r, "operators", true, settings.m_operators);
        });
        readAddress(reader, "store", true, settings.m_store);
        readAddress(reader, "adviser", false, settings.m_adviser);
        reader.section("host", false, [&](SectionReader& r) {
            readPositive(r, "cores", 1000.0, settings.m_coreMillis);
            readPositive(r, "linkMbps", 1.0, settings.m_linkMbps);
            r.bounded("memoryMb", settings.m_memoryMb, 64U, 1048576U);
        });
        reader.section("bounds", false, [&](SectionReader& r) {
            r.bounded("recordBytes", settings.m_recordBytes, 4096U, 1U << 20);
            readMillis(r, "longestLeaseMs", settings.m_longestLease, 2000, 600000);
            readMillis(r, "drainNoticeMs", settings.m_drainNotice, 500, 600000);
            std::uint32_t grace = 6;
            r.bounded("graceSeconds", grace, 1U, 3600U);
            settings.m_grace = std::chrono::seconds(grace);
            constexpr double greatestFactor = 100;
            r.optional("remoteFactor", settings.m_remoteFactor);
            if (settings.m_remoteFactor < 1 || settings.m_remoteFactor > greatestFactor)
                r.fault("remoteFactor", "must be a number from 1 to 100");
        });
        reader.section(
            "placement", false, [&](SectionReader& r) { r.optional("localityWait", settings.m_waitsForLocality); });
        reader.section("log", false, [&](SectionReader& r) {
            r.optional("level", settings.m_log.m_level);
            r.optional("file", settings.m_log.m_file);
        });
    }

} // namespace

SiteSettingsResult parseSiteSettings(std::string_view text)
{
    SiteSettings settings;
    std::vector<daemon::SettingsFault> faults
        = daemon::readDocument(text, [&](SectionReader& reader) { readAll(reader, settings); });
    if (!faults.empty())
        return faults;
    return settings;
}

} // namespace sapphiredale::controller
