// The load and history program. "run" sends a bounded load and records a history; "check" verifies a history against
// the records of the stand-in. Exit status: 0 success, 1 a rule is broken, 2 the input cannot be used.

#include "load/LoadRun.h"
#include "load/StandinRecords.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(callers, "127.0.0.1:8101", "caller addresses of the daemons, separated by commas");
DEFINE_string(operators, "", "operator addresses of the daemons, separated by commas; empty for no readers");
DEFINE_string(control, "127.0.0.1:7104", "control address of the stand-in (check)");
DEFINE_string(history, "history.jsonl", "history file");
DEFINE_string(service, "trial-planner", "workload that the requests go to");
DEFINE_string(team, "tasting-panel", "team of the requests");
DEFINE_string(job_workload, "", "workload of submitted jobs; empty for none");
DEFINE_uint32(caller_threads, 4, "threads that send requests, 1 to 64");
DEFINE_uint32(reader_threads, 2, "threads that read the configuration, 0 to 16");
DEFINE_uint64(requests, 10000, "requests of all callers together, at most 150000");
DEFINE_uint32(seconds, 10, "longest time of the load, 1 to 3600");
DEFINE_uint32(pause_ms, 5, "pause of a caller between two requests");
DEFINE_uint32(service_ms, 5, "service time of a request");
DEFINE_uint32(timeout_ms, 5000, "time after which a response counts as lost");
DEFINE_uint32(deadline_ms, 10000, "deadline of non-repeatable requests");
DEFINE_double(non_repeatable, 0.2, "share of non-repeatable requests, 0 to 1");
DEFINE_uint64(seed, 1, "seed of the random choices");

namespace {

using namespace sapphiredale;

int fail(const std::string& detail)
{
    std::cerr << "sapphire-load: " << detail << '\n';
    return 2;
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

bool flagsAreInRange()
{
    // The stand-in retains 200,000 executions, and a request can be executed more than once.
    return FLAGS_caller_threads >= 1 && FLAGS_caller_threads <= 64 && FLAGS_reader_threads <= 16
        && FLAGS_requests <= 150000 && FLAGS_seconds >= 1 && FLAGS_seconds <= 3600 && FLAGS_non_repeatable >= 0
        && FLAGS_non_repeatable <= 1 && !FLAGS_callers.empty();
}

int runLoad()
{
    std::ofstream file(FLAGS_history);
    if (!file)
        return fail("cannot write " + FLAGS_history);
    load::LoadSettings settings;
    settings.m_callerAddresses = split(FLAGS_callers);
    settings.m_operatorAddresses = split(FLAGS_operators);
    settings.m_service = FLAGS_service;
    settings.m_team = FLAGS_team;
    settings.m_jobWorkload = FLAGS_job_workload;
    settings.m_callers = FLAGS_caller_threads;
    settings.m_readers = FLAGS_reader_threads;
    settings.m_requests = FLAGS_requests;
    settings.m_time = std::chrono::seconds(FLAGS_seconds);
    settings.m_pause = std::chrono::milliseconds(FLAGS_pause_ms);
    settings.m_serviceTime = std::chrono::milliseconds(FLAGS_service_ms);
    settings.m_timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    settings.m_deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
    settings.m_nonRepeatable = FLAGS_non_repeatable;
    settings.m_seed = FLAGS_seed;
    load::HistoryRecorder recorder(file);
    load::LoadRun(settings, recorder).run();
    std::cout << load::summarize(recorder.entries());
    file.close();
    return file ? 0 : fail("cannot write " + FLAGS_history);
}

int checkHistory()
{
    std::ifstream file(FLAGS_history);
    if (!file)
        return fail("cannot read " + FLAGS_history);
    const auto history = load::readHistory(file);
    if (!succeeded(history))
        return fail(errorOf(history).m_detail);
    const auto records = load::readStandinRecords(FLAGS_control);
    if (!succeeded(records))
        return fail(errorOf(records).m_detail);
    const std::vector<load::Finding> findings
        = load::HistoryChecker(valueOf(history), valueOf(records).m_executions, valueOf(records).m_violations).check();
    for (const load::Finding& finding : findings) {
        std::cout << finding.m_rule << ": " << finding.m_detail << '\n';
        for (const std::size_t line : finding.m_lines)
            std::cout << "  line " << line << ": " << load::toLine(valueOf(history)[line - 1]) << '\n';
    }
    std::cout << "checked " << valueOf(history).size() << " entries and " << valueOf(records).m_executions.size()
              << " executions: " << findings.size() << " findings\n";
    return findings.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("sapphire-load run|check [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string command = argc == 2 ? argv[1] : "";
    if (!flagsAreInRange())
        return fail("a flag is out of range; --help shows the ranges");
    if (command == "run")
        return runLoad();
    if (command == "check")
        return checkHistory();
    return fail("usage: sapphire-load run|check [flags]");
}
