// Structured log: one JSON line per event, written by log4cplus to standard error or a file.
#pragma once

#include "model/Identifier.h"
#include "model/Result.h"
#include "model/Time.h"
#include "observability/LogEvent.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace sapphiredale::observability {

/// A named value of a log line. It refers to the caller's text and lives only during the call.
struct LogField {
    using Value = std::variant<std::int64_t, std::uint64_t, double, bool, std::string_view>;

    LogField(std::string_view name, std::string_view value)
        : m_name(name)
        , m_value(value)
    {
    }
    LogField(std::string_view name, const char* value)
        : LogField(name, std::string_view(value))
    {
    }
    LogField(std::string_view name, const std::string& value)
        : LogField(name, std::string_view(value))
    {
    }
    template <typename Tag>
    LogField(std::string_view name, const Identifier<Tag>& value)
        : LogField(name, std::string_view(value.value()))
    {
    }
    template <typename Number>
    requires std::is_arithmetic_v<Number> LogField(std::string_view name, Number value)
        : m_name(name)
        , m_value(toValue(value))
    {
    }

    std::string_view m_name;
    Value m_value;

private:
    template <typename Number> static Value toValue(Number value)
    {
        if constexpr (std::is_same_v<Number, bool>)
            return value;
        else if constexpr (std::is_floating_point_v<Number>)
            return static_cast<double>(value);
        else if constexpr (std::is_signed_v<Number>)
            return static_cast<std::int64_t>(value);
        else
            return static_cast<std::uint64_t>(value);
    }
};

/// Settings that build an EventLog.
struct EventLogSettings {
    /// Name in the "daemon" member of each line.
    DaemonId m_daemon;
    /// File to append to; empty writes to standard error.
    std::string m_file;
    /// Writes to standard output instead of standard error when there is no file.
    bool m_toStandardOutput = false;
    /// A file of this size is renamed to ".1" (older ones up to m_keptFiles) and started anew.
    std::uint64_t m_maxFileBytes = std::uint64_t { 16 } << 20;
    std::uint32_t m_keptFiles = 3;
    /// Events below it are not written.
    Severity m_minimum = Severity::Info;
    /// Most lines of one event per m_interval; the number of suppressed lines is written with the next line.
    std::uint32_t m_maxLinesPerInterval = 20;
    Duration m_interval = std::chrono::seconds(10);
    /// Clock of the time stamps; the system clock when empty.
    std::function<WallTime()> m_clock;
};

/// Writes events. All functions may be called from several threads.
class EventLog {
public:
    /// Fails with Internal when the file cannot be opened.
    static Result<std::unique_ptr<EventLog>> open(const EventLogSettings&);

    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    /// Whether the event is written at this severity; check first when the fields are costly to compute.
    bool isEnabled(LogEvent event) const { return entryOf(event).m_severity >= m_minimum; }

    /// Writes a line {"time","number","severity","event","daemon","message",fields...}.
    void write(LogEvent event, std::initializer_list<LogField> fields = {})
    {
        if (isEnabled(event))
            writeEnabled(event, fields);
    }

    /// Lines that the rate limit has suppressed since the start.
    std::uint64_t suppressedLines() const;

private:
    class Impl;
    EventLog(Severity, std::unique_ptr<Impl>);
    void writeEnabled(LogEvent, std::initializer_list<LogField>);

    Severity m_minimum;
    std::unique_ptr<Impl> m_impl;
};

} // namespace sapphiredale::observability
