// JSON lines through log4cplus, with a rate limit per event.

#include "observability/EventLog.h"

#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <cmath>
#include <ctime>
#include <fstream>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <mutex>

namespace sapphiredale::observability {

namespace {

    log4cplus::LogLevel levelOf(Severity severity)
    {
        switch (severity) {
        case Severity::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case Severity::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case Severity::Warning:
            return log4cplus::WARN_LOG_LEVEL;
        case Severity::Error:
            break;
        }
        return log4cplus::ERROR_LOG_LEVEL;
    }

    /// Appends a JSON string; bytes that are not ASCII pass unchanged.
    void appendString(std::string& line, std::string_view text)
    {
        constexpr std::string_view hex = "0123456789abcdef";
        line += '"';
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (c == '"' || c == '\\') {
                line += '\\';
                line += c;
            } else if (byte < 0x20) {
                line += "\\u00";
                line += hex[byte >> 4];
                line += hex[byte & 15];
            } else {
                line += c;
            }
        }
        line += '"';
    }

    void appendMember(std::string& line, std::string_view name)
    {
        line += line.empty() ? '{' : ',';
        appendString(line, name);
        line += ':';
    }

    struct ValueWriter {
        std::string& m_line;

        void operator()(std::string_view text) const { appendString(m_line, text); }
        void operator()(bool value) const { m_line += value ? "true" : "false"; }
        template <typename Number> void operator()(Number value) const
        {
            if constexpr (std::is_floating_point_v<Number>) {
                if (!std::isfinite(value)) {
                    m_line += "null";
                    return;
                }
            }
            std::array<char, 40> buffer {};
            m_line.append(
                buffer.data(), std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr - buffer.data());
        }
    };

    /// "2026-12-04T05:06:07.089Z".
    std::string formatTime(WallTime time)
    {
        const auto millis = time.time_since_epoch().count();
        const std::time_t seconds = static_cast<std::time_t>(millis / 1000);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 64> buffer {};
        const std::size_t length = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        std::string text(buffer.data(), length);
        const std::string fraction = std::to_string(1000 + millis % 1000);
        return text + "." + fraction.substr(1) + "Z";
    }

    /// Rate limit of one event: counts its lines in the current interval and those suppressed.
    class RateLimit {
    public:
        /// Returns the number of suppressed lines to report with this line, or none when this line is suppressed too.
        std::optional<std::uint64_t> admit(WallTime now, std::chrono::milliseconds interval, std::uint32_t maxLines)
        {
            const std::lock_guard lock(m_mutex);
            // A clock that was set back also starts a new interval.
            if (now >= m_intervalEnd || now + interval < m_intervalEnd) {
                m_intervalEnd = now + interval;
                m_lines = 0;
            }
            if (m_lines >= maxLines) {
                ++m_suppressed;
                return std::nullopt;
            }
            ++m_lines;
            return std::exchange(m_suppressed, 0);
        }

    private:
        std::mutex m_mutex;
        WallTime m_intervalEnd;
        std::uint32_t m_lines = 0;
        std::uint64_t m_suppressed = 0;
    };

    WallTime systemTime()
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }

    Result<log4cplus::SharedAppenderPtr> openAppender(const EventLogSettings& settings)
    {
        log4cplus::SharedAppenderPtr appender;
        if (settings.m_file.empty()) {
            appender = new log4cplus::ConsoleAppender(!settings.m_toStandardOutput, true);
        } else {
            if (!std::ofstream(settings.m_file, std::ios::app))
                return Error { ErrorKind::Internal, "cannot write the log file " + settings.m_file };
            appender = new log4cplus::RollingFileAppender(settings.m_file, static_cast<long>(settings.m_maxFileBytes),
                static_cast<int>(settings.m_keptFiles), true, true);
        }
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
        return appender;
    }

} // namespace

class EventLog::Impl {
public:
    Impl(const EventLogSettings& settings, const log4cplus::SharedAppenderPtr& appender)
        : m_settings(settings)
        , m_interval(std::chrono::duration_cast<std::chrono::milliseconds>(settings.m_interval))
        , m_logger(m_hierarchy.getInstance("sapphiredale"))
    {
        if (!m_settings.m_clock)
            m_settings.m_clock = systemTime;
        m_logger.setLogLevel(log4cplus::DEBUG_LOG_LEVEL);
        m_logger.addAppender(appender);
    }

    ~Impl()
    {
        m_logger.removeAllAppenders();
        m_hierarchy.shutdown();
    }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void write(LogEvent event, std::initializer_list<LogField> fields)
    {
        const LogEventEntry& entry = entryOf(event);
        const WallTime now = m_settings.m_clock();
        const std::optional<std::uint64_t> suppressed
            = m_limits[static_cast<std::size_t>(event)].admit(now, m_interval, m_settings.m_maxLinesPerInterval);
        if (!suppressed) {
            m_suppressedLines.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        std::string line;
        const auto member = [&line](std::string_view name, const LogField::Value& value) {
            appendMember(line, name);
            std::visit(ValueWriter { line }, value);
        };
        member("time", std::string_view(formatTime(now)));
        member("number", std::uint64_t { entry.m_number });
        member("severity", nameOf(entry.m_severity));
        member("event", entry.m_name);
        member("daemon", std::string_view(m_settings.m_daemon.value()));
        member("message", entry.m_message);
        for (const LogField& field : fields)
            member(field.m_name, field.m_value);
        if (*suppressed > 0)
            member("suppressed", *suppressed);
        line += '}';
        m_logger.log(levelOf(entry.m_severity), line);
    }

    std::uint64_t suppressedLines() const { return m_suppressedLines.load(std::memory_order_relaxed); }

private:
    EventLogSettings m_settings;
    const std::chrono::milliseconds m_interval;
    log4cplus::Hierarchy m_hierarchy;
    log4cplus::Logger m_logger;
    std::array<RateLimit, logEventCount> m_limits;
    std::atomic<std::uint64_t> m_suppressedLines = 0;
};

Result<std::unique_ptr<EventLog>> EventLog::open(const EventLogSettings& settings)
{
    // The library must be initialized before its first appender and cannot be initialized twice.
    static const log4cplus::Initializer initializer;
    const Result<log4cplus::SharedAppenderPtr> appender = openAppender(settings);
    if (!succeeded(appender))
        return errorOf(appender);
    auto impl = std::make_unique<Impl>(settings, valueOf(appender));
    return std::unique_ptr<EventLog>(new EventLog(settings.m_minimum, std::move(impl)));
}

EventLog::EventLog(Severity minimum, std::unique_ptr<Impl> impl)
    : m_minimum(minimum)
    , m_impl(std::move(impl))
{
}

EventLog::~EventLog() = default;

void EventLog::writeEnabled(LogEvent event, std::initializer_list<LogField> fields) { m_impl->write(event, fields); }

std::uint64_t EventLog::suppressedLines() const { return m_impl->suppressedLines(); }

} // namespace sapphiredale::observability
