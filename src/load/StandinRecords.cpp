// Reading of the stand-in's records.

#include "load/StandinRecords.h"

#include "load/HttpConnection.h"

#include <iterator>

namespace sapphiredale::load {

namespace {

    constexpr std::chrono::milliseconds timeout { 30000 };
    constexpr std::size_t pageSize = 10000;

    Result<std::string> get(HttpConnection& connection, const std::string& target)
    {
        HttpResult result = connection.call({ "GET", target, {}, {} });
        if (const auto* failure = std::get_if<HttpFailure>(&result))
            return Error { ErrorKind::Internal, target + ": " + failure->m_detail };
        auto& answer = std::get<HttpAnswer>(result);
        if (answer.m_status != 200)
            return Error { ErrorKind::Internal, target + ": status " + std::to_string(answer.m_status) };
        return std::move(answer.m_body);
    }

} // namespace

Result<StandinRecords> readStandinRecords(const std::string& controlAddress)
{
    HttpConnection connection(controlAddress, timeout);
    StandinRecords records;
    for (;;) {
        const std::uint64_t after = records.m_executions.empty() ? 0 : records.m_executions.back().m_sequence;
        const Result<std::string> page = get(
            connection, "/v1/control/executions?after=" + std::to_string(after) + "&limit=" + std::to_string(pageSize));
        if (!succeeded(page))
            return errorOf(page);
        Result<std::vector<ObservedExecution>> executions = parseExecutions(valueOf(page));
        if (!succeeded(executions))
            return errorOf(executions);
        if (valueOf(executions).empty())
            break;
        std::vector<ObservedExecution> more = valueOf(std::move(executions));
        std::move(more.begin(), more.end(), std::back_inserter(records.m_executions));
    }
    const Result<std::string> text = get(connection, "/v1/control/violations");
    if (!succeeded(text))
        return errorOf(text);
    Result<std::vector<PlatformViolation>> violations = parseViolations(valueOf(text));
    if (!succeeded(violations))
        return errorOf(violations);
    records.m_violations = valueOf(std::move(violations));
    return records;
}

} // namespace sapphiredale::load
