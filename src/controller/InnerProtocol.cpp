// JSON encoding of the messages between daemons.

#include "controller/InnerProtocol.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>

namespace sapphiredale::controller::inner {

namespace json = boost::json;

namespace {

    const Error malformed { ErrorKind::InvalidRequest, "the inner message is malformed" };

    json::object parse(std::string_view text)
    {
        boost::system::error_code error;
        json::value value = json::parse(text, error);
        return !error && value.is_object() ? std::move(value.get_object()) : json::object();
    }

    const json::string* textOf(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        return value == nullptr ? nullptr : value->if_string();
    }

    const std::int64_t* numberOf(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        return value == nullptr ? nullptr : value->if_int64();
    }

    const json::array* listOf(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        return value == nullptr ? nullptr : value->if_array();
    }

} // namespace

std::string encode(const Hello& hello)
{
    return json::serialize(json::object { { "daemon", hello.m_daemon.value() }, { "address", hello.m_address },
        { "leaving", hello.m_isLeaving }, { "adviser", hello.m_asksAdviser } });
}

std::string encode(const jobs::AdviceRequest& question)
{
    json::array workers;
    for (const WorkerId& worker : question.m_workers)
        workers.emplace_back(worker.value());
    return json::serialize(json::object { { "job", question.m_step.m_job.value() },
        { "occurrence", question.m_step.m_occurrence }, { "step", question.m_step.m_step },
        { "workers", std::move(workers) }, { "expectedMicros", question.m_expected.count() } });
}

std::string encode(const jobs::Advice& reply)
{
    json::array tickets;
    for (const jobs::Ticket& ticket : reply.m_tickets)
        tickets.push_back(json::array { ticket.m_worker.value(), ticket.m_text });
    return json::serialize(
        json::object { { "tickets", std::move(tickets) }, { "validityMicros", reply.m_validity.count() } });
}

std::string encode(const StoreRequest& request)
{
    return json::serialize(json::object { { "key", request.m_key }, { "value", request.m_value } });
}

std::string encodeName(const std::string& name) { return json::serialize(json::object { { "name", name } }); }

std::string encodeCount(std::uint32_t count) { return json::serialize(json::object { { "value", count } }); }

std::string encode(const StateAnswer& answer)
{
    json::object object { { "value", static_cast<std::uint32_t>(answer.m_state) } };
    if (!answer.m_team.empty())
        object["team"] = answer.m_team.value();
    return json::serialize(object);
}

std::string encodeRefusedTeams(const std::vector<jobs::TeamRefusal>& teams, TimePoint now)
{
    json::array refused;
    for (const jobs::TeamRefusal& team : teams)
        refused.push_back(json::object { { "team", team.m_team.value() },
            { "untilMs", std::chrono::ceil<std::chrono::milliseconds>(team.m_until - now).count() } });
    return json::serialize(json::object { { "refused", std::move(refused) } });
}

Result<Hello> decodeHello(std::string_view text)
{
    const json::object object = parse(text);
    const json::string* daemon = textOf(object, "daemon");
    const json::string* address = textOf(object, "address");
    const json::value* leaving = object.if_contains("leaving");
    if (daemon == nullptr || address == nullptr || leaving == nullptr || !leaving->is_bool())
        return malformed;
    const json::value* adviser = object.if_contains("adviser");
    return Hello { DaemonId(std::string(*daemon)), std::string(*address), leaving->get_bool(),
        adviser == nullptr || !adviser->is_bool() || adviser->get_bool() };
}

Result<jobs::AdviceRequest> decodeQuestion(std::string_view text)
{
    const json::object object = parse(text);
    const json::string* job = textOf(object, "job");
    const std::int64_t* occurrence = numberOf(object, "occurrence");
    const std::int64_t* step = numberOf(object, "step");
    const std::int64_t* expected = numberOf(object, "expectedMicros");
    const json::array* workers = listOf(object, "workers");
    if (job == nullptr || occurrence == nullptr || step == nullptr || expected == nullptr || workers == nullptr)
        return malformed;
    jobs::AdviceRequest question;
    question.m_step
        = { JobId(std::string(*job)), static_cast<std::uint32_t>(*occurrence), static_cast<std::uint32_t>(*step) };
    question.m_expected = Duration(*expected);
    for (const json::value& worker : *workers) {
        if (!worker.is_string())
            return malformed;
        question.m_workers.emplace_back(std::string(worker.get_string()));
    }
    return question;
}

Result<StoreRequest> decodeStoreRequest(std::string_view text)
{
    const json::object object = parse(text);
    const json::string* key = textOf(object, "key");
    const json::string* value = textOf(object, "value");
    if (key == nullptr || value == nullptr)
        return malformed;
    return StoreRequest { std::string(*key), std::string(*value) };
}

Result<jobs::Advice> decodeAdvice(std::string_view text)
{
    const json::object object = parse(text);
    const json::array* tickets = listOf(object, "tickets");
    const std::int64_t* validity = numberOf(object, "validityMicros");
    if (tickets == nullptr || validity == nullptr)
        return malformed;
    jobs::Advice reply;
    reply.m_validity = Duration(*validity);
    for (const json::value& row : *tickets) {
        const json::array* ticket = row.if_array();
        if (ticket == nullptr || ticket->size() != 2 || !(*ticket)[0].is_string() || !(*ticket)[1].is_string())
            return malformed;
        reply.m_tickets.push_back(
            { WorkerId(std::string((*ticket)[0].get_string())), std::string((*ticket)[1].get_string()) });
    }
    return reply;
}

Result<std::string> decodeName(std::string_view text)
{
    const json::object object = parse(text);
    const json::string* name = textOf(object, "name");
    if (name == nullptr)
        return malformed;
    return std::string(*name);
}

Result<std::uint32_t> decodeCount(std::string_view text)
{
    const json::object object = parse(text);
    const std::int64_t* value = numberOf(object, "value");
    if (value == nullptr || *value < 0)
        return malformed;
    return static_cast<std::uint32_t>(*value);
}

Result<StateAnswer> decodeState(std::string_view text)
{
    const Result<std::uint32_t> value = decodeCount(text);
    if (!succeeded(value) || valueOf(value) > static_cast<std::uint32_t>(jobs::JobState::Cancelled))
        return malformed;
    const json::object object = parse(text);
    const json::string* team = textOf(object, "team");
    return StateAnswer { static_cast<jobs::JobState>(valueOf(value)),
        team == nullptr ? TeamId() : TeamId(std::string(*team)) };
}

std::vector<jobs::TeamRefusal> decodeRefusedTeams(std::string_view text, TimePoint now)
{
    // Longer than any refusal; keeps the sum in range.
    constexpr std::int64_t maxUntilMs = 3'600'000;
    const json::object object = parse(text);
    std::vector<jobs::TeamRefusal> teams;
    const json::array* refused = listOf(object, "refused");
    if (refused == nullptr)
        return teams;
    for (const json::value& entry : *refused) {
        if (!entry.is_object())
            continue;
        const json::string* team = textOf(entry.get_object(), "team");
        const std::int64_t* until = numberOf(entry.get_object(), "untilMs");
        if (team != nullptr && !team->empty() && until != nullptr)
            teams.push_back({ TeamId(std::string(*team)),
                now + std::chrono::milliseconds(std::clamp<std::int64_t>(*until, 0, maxUntilMs)) });
    }
    return teams;
}

} // namespace sapphiredale::controller::inner
