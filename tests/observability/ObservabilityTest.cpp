// Tests of the event log, the metrics and their catalogue pages.

#include "observability/EventLog.h"
#include "observability/MetricsRegistry.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <fstream>
#include <limits>
#include <map>
#include <set>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <vector>

namespace sapphiredale::observability {

namespace {

    std::string trimmed(std::string text)
    {
        const auto isBlank = [](char c) { return c == ' ' || c == '`'; };
        while (!text.empty() && isBlank(text.back()))
            text.pop_back();
        std::size_t begin = 0;
        while (begin < text.size() && isBlank(text[begin]))
            ++begin;
        return text.substr(begin);
    }

    /// Cells of the rows of the table on a page, without its two header rows.
    std::vector<std::vector<std::string>> tableOf(const std::string& page)
    {
        std::ifstream file(page);
        std::vector<std::vector<std::string>> rows;
        for (std::string line; std::getline(file, line);) {
            if (!line.starts_with("|"))
                continue;
            std::istringstream cells(line.substr(1));
            std::vector<std::string>& row = rows.emplace_back();
            for (std::string cell; std::getline(cells, cell, '|');)
                row.push_back(trimmed(cell));
        }
        if (rows.size() >= 2)
            rows.erase(rows.begin(), rows.begin() + 2);
        return rows;
    }

    std::vector<std::string> linesOf(const std::string& path)
    {
        std::ifstream file(path);
        std::vector<std::string> lines;
        for (std::string line; std::getline(file, line);)
            lines.push_back(line);
        return lines;
    }

    bool contains(const std::string& text, std::string_view part) { return text.find(part) != std::string::npos; }

    /// A log file in the temporary directory that is removed at the end.
    class TemporaryLog {
    public:
        TemporaryLog()
            : m_path("/tmp/sapphire-observability-" + std::to_string(getpid()) + ".jsonl")
        {
            std::remove(m_path.c_str());
        }
        ~TemporaryLog() { std::remove(m_path.c_str()); }
        TemporaryLog(const TemporaryLog&) = delete;
        TemporaryLog& operator=(const TemporaryLog&) = delete;

        std::unique_ptr<EventLog> open(Severity minimum)
        {
            EventLogSettings settings;
            settings.m_daemon = DaemonId("d1");
            settings.m_file = m_path;
            settings.m_minimum = minimum;
            settings.m_maxLinesPerInterval = 2;
            settings.m_interval = std::chrono::seconds(10);
            settings.m_clock = [this] { return WallTime(std::chrono::milliseconds(m_now.load())); };
            return valueOf(EventLog::open(settings));
        }
        std::vector<std::string> lines() const { return linesOf(m_path); }

        std::atomic<std::int64_t> m_now = 1000;

    private:
        std::string m_path;
    };

} // namespace

class ObservabilityTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ObservabilityTest);
    CPPUNIT_TEST(eventPageAndTableAgree);
    CPPUNIT_TEST(metricPageAndTableAgree);
    CPPUNIT_TEST(hostileTextStaysInsideItsField);
    CPPUNIT_TEST(eventsBelowTheMinimumAreNotWritten);
    CPPUNIT_TEST(repeatedEventsAreHeldBackAndCounted);
    CPPUNIT_TEST(unwritableFileIsReported);
    CPPUNIT_TEST(recordsOfSeveralThreadsAddUp);
    CPPUNIT_TEST(bucketsAreCumulativeAndHoldEveryValue);
    CPPUNIT_TEST(labelValuesAreEscapedAndBounded);
    CPPUNIT_TEST(countersNeverGoBack);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an event that operators cannot look up, and a page that describes an event that does not exist.
    void eventPageAndTableAgree()
    {
        const auto rows = tableOf("docs/EVENTS.md");
        CPPUNIT_ASSERT_EQUAL(logEventCount, rows.size());
        std::set<std::string_view> names;
        for (std::size_t i = 0; i < logEventCount; ++i) {
            const LogEventEntry& entry = entryOf(static_cast<LogEvent>(i));
            CPPUNIT_ASSERT_EQUAL(std::size_t { 6 }, rows[i].size());
            CPPUNIT_ASSERT_EQUAL(std::to_string(entry.m_number), rows[i][0]);
            CPPUNIT_ASSERT_EQUAL(std::string(entry.m_name), rows[i][1]);
            CPPUNIT_ASSERT_EQUAL(std::string(nameOf(entry.m_severity)), rows[i][2]);
            CPPUNIT_ASSERT_EQUAL(std::string(entry.m_message), rows[i][3]);
            CPPUNIT_ASSERT(!rows[i][4].empty() && !rows[i][5].empty());
            CPPUNIT_ASSERT(names.insert(entry.m_name).second);
        }
    }

    // Guards against a metric that no page explains, and a page that names a metric that is never exported.
    void metricPageAndTableAgree()
    {
        const auto rows = tableOf("docs/METRICS.md");
        CPPUNIT_ASSERT_EQUAL(metricCount, rows.size());
        std::set<std::string_view> names;
        for (std::size_t i = 0; i < metricCount; ++i) {
            const MetricEntry& entry = entryOf(static_cast<MetricName>(i));
            std::string labels;
            for (std::size_t label = 0; label < entry.labelCount(); ++label)
                labels += (label ? "`, `" : "") + std::string(entry.m_labels[label]);
            CPPUNIT_ASSERT_EQUAL(std::string(entry.m_name), rows[i][0]);
            CPPUNIT_ASSERT_EQUAL(std::string(nameOf(entry.m_type)), rows[i][1]);
            CPPUNIT_ASSERT_EQUAL(labels, rows[i][2]);
            CPPUNIT_ASSERT_EQUAL(std::string(entry.m_help), rows[i][3]);
            CPPUNIT_ASSERT(names.insert(entry.m_name).second);
        }
    }

    // Guards against a caller's text that forges a log line or breaks the JSON of its own line.
    void hostileTextStaysInsideItsField()
    {
        TemporaryLog file;
        file.open(Severity::Info)
            ->write(LogEvent::RequestRefused,
                { { "reason", "a\"}\n{\"number\":1" }, { "bytes", 7 },
                    { "ratio", std::numeric_limits<double>::infinity() }, { "local", true }, { "delta", -3 } });
        const auto lines = file.lines();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, lines.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                R"({"time":"1970-01-01T00:00:01.000Z","number":7001,"severity":"info","event":"request-refused",)"
                R"("daemon":"d1","message":"A request was refused","reason":"a\"}\u000a{\"number\":1","bytes":7,)"
                R"("ratio":null,"local":true,"delta":-3})"),
            lines[0]);
    }

    // Guards against debug events that fill the log of a daemon with ordinary settings.
    void eventsBelowTheMinimumAreNotWritten()
    {
        TemporaryLog file;
        const auto log = file.open(Severity::Warning);
        CPPUNIT_ASSERT(!log->isEnabled(LogEvent::DaemonStarted));
        log->write(LogEvent::DaemonStarted);
        log->write(LogEvent::PeerSuspected);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, file.lines().size());
    }

    // Guards against a failing peer or log that fills the disk, and against lines that disappear without a trace.
    void repeatedEventsAreHeldBackAndCounted()
    {
        TemporaryLog file;
        const auto log = file.open(Severity::Info);
        for (int i = 0; i < 10; ++i)
            log->write(LogEvent::LogUnavailable);
        log->write(LogEvent::PeerSuspected);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, file.lines().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 8 }, log->suppressedLines());

        file.m_now = 11000;
        log->write(LogEvent::LogUnavailable);
        CPPUNIT_ASSERT(contains(file.lines().back(), "\"suppressed\":8}"));
        file.m_now = 500;
        log->write(LogEvent::LogUnavailable);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, file.lines().size());
        CPPUNIT_ASSERT(!contains(file.lines().back(), "suppressed"));
    }

    // Guards against a daemon that runs without a log because the directory is missing.
    void unwritableFileIsReported()
    {
        EventLogSettings settings;
        settings.m_file = "/nonexistent-directory/x.jsonl";
        const auto log = EventLog::open(settings);
        CPPUNIT_ASSERT(!succeeded(log));
        CPPUNIT_ASSERT(contains(errorOf(log).m_detail, settings.m_file));
    }

    // Guards against lost updates when several threads record at the same time, also while a scrape runs.
    void recordsOfSeveralThreadsAddUp()
    {
        MetricsRegistry metrics;
        constexpr int threadCount = 4;
        constexpr int recordsPerThread = 5000;
        std::vector<std::thread> threads;
        threads.reserve(threadCount);
        for (int t = 0; t < threadCount; ++t) {
            threads.emplace_back([&metrics, t] {
                for (int i = 0; i < recordsPerThread; ++i) {
                    metrics.counter(MetricName::RetriesTotal, { i % 2 ? "busy" : "leaving" }).add();
                    metrics.gauge(MetricName::Tasks, { "running" }).add(t % 2 ? 1 : -1);
                    metrics.distribution(MetricName::DecisionSeconds).record(0.25);
                }
            });
        }
        for (int i = 0; i < 20; ++i)
            (void)metrics.prometheusText();
        for (std::thread& thread : threads)
            thread.join();
        constexpr std::uint64_t total = std::uint64_t { threadCount } * recordsPerThread;
        CPPUNIT_ASSERT_EQUAL(total / 2, metrics.counter(MetricName::RetriesTotal, { "busy" }).value());
        CPPUNIT_ASSERT_EQUAL(total / 2, metrics.counter(MetricName::RetriesTotal, { "leaving" }).value());
        CPPUNIT_ASSERT_EQUAL(0.0, metrics.gauge(MetricName::Tasks, { "running" }).value());
        CPPUNIT_ASSERT_EQUAL(total, metrics.distribution(MetricName::DecisionSeconds).count());
        CPPUNIT_ASSERT_EQUAL(
            0.25 * static_cast<double>(total), metrics.distribution(MetricName::DecisionSeconds).sum());
    }

    // Guards against values that fall outside the buckets, and buckets that are not cumulative as Prometheus requires.
    void bucketsAreCumulativeAndHoldEveryValue()
    {
        MetricsRegistry metrics;
        Distribution& waits = metrics.distribution(MetricName::RequestSeconds, { "urgent" });
        for (const double value : { -1.0, 0.0, 1e-9, 0.5, 1.9, 1e9, std::numeric_limits<double>::quiet_NaN() })
            waits.record(value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, waits.count());
        std::istringstream text(metrics.prometheusText());
        std::uint64_t previous = 0;
        int buckets = 0;
        for (std::string line; std::getline(text, line);) {
            if (!line.starts_with("sapphire_request_seconds_bucket"))
                continue;
            const std::uint64_t count = std::stoull(line.substr(line.rfind(' ') + 1));
            CPPUNIT_ASSERT(count >= previous);
            previous = count;
            ++buckets;
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, previous);
        CPPUNIT_ASSERT(buckets > 10);
    }

    // Guards against label values from files and messages that break the text format or grow the memory without bound.
    void labelValuesAreEscapedAndBounded()
    {
        MetricsRegistry metrics(MetricsSettings { 3 });
        metrics.gauge(MetricName::RequestsQueued, { "a\"b\\c\nd" }).set(1.5);
        for (int i = 0; i < 50; ++i)
            metrics.gauge(MetricName::RequestsQueued, { "class-" + std::to_string(i) }).add(1);
        const std::string text = metrics.prometheusText();
        CPPUNIT_ASSERT(contains(text, "\nsapphire_requests_queued{service=\"a\\\"b\\\\c\\nd\"} 1.5\n"));
        CPPUNIT_ASSERT(contains(text, "\nsapphire_requests_queued{service=\"class-1\"} 1\n"));
        CPPUNIT_ASSERT(contains(text, "\nsapphire_requests_queued{service=\"other\"} 48\n"));
        CPPUNIT_ASSERT(!contains(text, "class-2"));
    }

    // Guards against a negative rate after a late reader of statistics reports an older total.
    void countersNeverGoBack()
    {
        MetricsRegistry metrics;
        Counter& bytes = metrics.counter(MetricName::ControlBytesTotal, { "heartbeat", "sent" });
        bytes.raiseTo(100);
        bytes.raiseTo(60);
        bytes.add(5);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 105 }, bytes.value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObservabilityTest);

} // namespace sapphiredale::observability
