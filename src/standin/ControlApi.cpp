// Staging of faults; ControlViews.cpp holds what is shown.

#include "standin/ControlApi.h"

#include "standin/Clock.h"
#include "standin/HttpReplies.h"
#include "standin/JsonFields.h"

#include <algorithm>

namespace sapphiredale::standin {

namespace json = boost::json;

namespace {

    constexpr std::string_view partitionsPath = "/v1/control/partitions";

    template <typename Value> struct Choice {
        std::string_view m_name;
        Value m_value;
    };

    /// The value that a text names; throws FieldError with the possible names otherwise.
    template <typename Value, std::size_t count>
    Value choose(std::string_view member, std::string_view text, const Choice<Value> (&choices)[count])
    {
        std::string names;
        for (const Choice<Value>& choice : choices) {
            if (choice.m_name == text)
                return choice.m_value;
            names.append(names.empty() ? "" : ", ").append(choice.m_name);
        }
        throw FieldError('"' + std::string(member) + "\" must be one of " + names);
    }

    std::uint32_t smallCount(const json::object& object, std::string_view name, std::uint32_t otherwise)
    {
        return static_cast<std::uint32_t>(std::min<std::uint64_t>(countField(object, name, otherwise), UINT32_MAX));
    }

    bool contains(const std::vector<std::string>& list, const std::string& text)
    {
        return std::find(list.begin(), list.end(), text) != list.end();
    }

    /// Workers named directly, by rack or by failure domain.
    std::vector<SimulatedWorker*> selectWorkers(const json::object& body, const WorkerFleet& fleet)
    {
        const auto names = stringsField(body, "workers");
        const auto racks = stringsField(body, "racks");
        const auto domains = stringsField(body, "failureDomains");
        for (const std::string& name : names) {
            if (!fleet.find(name))
                throw FieldError("no worker \"" + name + '"');
        }
        std::vector<SimulatedWorker*> selected;
        for (const auto& worker : fleet.workers()) {
            const WorkerIdentity& identity = worker->identity();
            if (contains(names, identity.m_name.value()) || contains(racks, identity.m_rack.value())
                || contains(domains, identity.m_failureDomain.value()))
                selected.push_back(worker.get());
        }
        if (selected.empty())
            throw FieldError("\"workers\", \"racks\" and \"failureDomains\" select no worker");
        return selected;
    }

    enum class WorkerAction : std::uint8_t { None, Kill, Restart, ForgetEpoch };
    enum class MinionAction : std::uint8_t { None, Leave, Die, Vanish };

} // namespace

HttpReply ControlApi::handle(const HttpRequest& request)
{
    if (request.m_method == "GET")
        return show(request);
    if (request.m_method == "POST")
        return change(request);
    if (request.m_method == "DELETE" && request.m_path.starts_with(std::string(partitionsPath) + '/')) {
        const std::string name = request.m_path.substr(partitionsPath.size() + 1);
        return m_targets.m_faults.heal(name) ? jsonReply({}) : errorReply(404, "no such partition");
    }
    return errorReply(405, "GET, POST or DELETE of a partition expected");
}

HttpReply ControlApi::change(const HttpRequest& request)
{
    const json::object body = request.m_body.empty() ? json::object() : parseObject(request.m_body);
    if (request.m_path == "/v1/control/log")
        return setLog(body);
    if (request.m_path == "/v1/control/workers")
        return setWorkers(body);
    if (request.m_path == "/v1/control/hosts")
        return setHosts(body);
    if (request.m_path == "/v1/control/minions")
        return setMinions(body);
    if (request.m_path == partitionsPath)
        return setPartition(body);
    if (request.m_path == "/v1/control/reset")
        return reset(body);
    return errorReply(404, "no such path");
}

HttpReply ControlApi::setLog(const json::object& body)
{
    requireKnown(body, { "outage", "delayMs", "answerDelayMs", "loseAppendAnswers", "truncate" });
    static constexpr Choice<LogOutage> outages[] = { { "none", LogOutage::None }, { "refuse", LogOutage::Refuse },
        { "close", LogOutage::Close }, { "hang", LogOutage::Hang } };
    LogFaults faults = m_targets.m_log.faults();
    if (body.contains("outage"))
        faults.m_outage = choose("outage", stringField(body, "outage"), outages);
    faults.m_delay = millisecondsField(body, "delayMs", faults.m_delay);
    faults.m_answerDelay = millisecondsField(body, "answerDelayMs", faults.m_answerDelay);
    faults.m_loseAppendAnswers = smallCount(body, "loseAppendAnswers", faults.m_loseAppendAnswers);
    if (const json::object* truncate = objectField(body, "truncate")) {
        requireKnown(*truncate, { "stream", "before" });
        m_targets.m_log.truncate(stringField(*truncate, "stream"), countField(*truncate, "before", 0));
    }
    m_targets.m_log.setFaults(faults);
    return jsonReply({});
}

HttpReply ControlApi::setWorkers(const json::object& body)
{
    requireKnown(
        body, { "workers", "racks", "failureDomains", "action", "frozen", "failStarts", "delayMs", "updateHosts" });
    static constexpr Choice<WorkerAction> actions[] = { { "", WorkerAction::None }, { "kill", WorkerAction::Kill },
        { "restart", WorkerAction::Restart }, { "forgetEpoch", WorkerAction::ForgetEpoch } };
    const WorkerAction action = choose("action", stringField(body, "action"), actions);
    const bool updateHosts = boolField(body, "updateHosts", true);
    const auto selected = selectWorkers(body, m_targets.m_fleet);
    for (SimulatedWorker* worker : selected) {
        const std::string& name = worker->identity().m_name.value();
        if (action == WorkerAction::Kill)
            worker->kill();
        else if (action == WorkerAction::Restart)
            worker->restart(currentTime());
        else if (action == WorkerAction::ForgetEpoch)
            worker->forgetEpoch();
        if (updateHosts && action == WorkerAction::Kill)
            m_targets.m_hosts.set(name, ListedState::Gone, currentTime());
        if (updateHosts && action == WorkerAction::Restart)
            m_targets.m_hosts.set(name, ListedState::Live, currentTime());
        WorkerFaults faults = worker->faults();
        faults.m_frozen = boolField(body, "frozen", faults.m_frozen);
        faults.m_failStarts = boolField(body, "failStarts", faults.m_failStarts);
        faults.m_delay = millisecondsField(body, "delayMs", faults.m_delay);
        worker->setFaults(faults);
    }
    return jsonReply({ { "workers", selected.size() } });
}

HttpReply ControlApi::setHosts(const json::object& body)
{
    requireKnown(body, { "hosts", "state", "minionsLeave" });
    static constexpr Choice<ListedState> states[]
        = { { "live", ListedState::Live }, { "leaving", ListedState::Leaving }, { "gone", ListedState::Gone } };
    const ListedState state = choose("state", stringField(body, "state"), states);
    for (const std::string& name : stringsField(body, "hosts")) {
        if (!m_targets.m_hosts.set(name, state, currentTime()))
            return errorReply(404, "no host \"" + name + '"');
        if (SimulatedWorker* worker = m_targets.m_fleet.find(name); worker && boolField(body, "minionsLeave", false))
            worker->leaveMinions();
    }
    return jsonReply({});
}

HttpReply ControlApi::setMinions(const json::object& body)
{
    requireKnown(body, { "minions", "action", "delayMs", "cutAnswers", "loseAnswers", "swapAnswers" });
    static constexpr Choice<MinionAction> actions[] = { { "", MinionAction::None }, { "leave", MinionAction::Leave },
        { "die", MinionAction::Die }, { "vanish", MinionAction::Vanish } };
    const MinionAction action = choose("action", stringField(body, "action"), actions);
    MinionFaults faults;
    faults.m_delay = millisecondsField(body, "delayMs", Duration::zero());
    faults.m_cutAnswers = smallCount(body, "cutAnswers", 0);
    faults.m_loseAnswers = smallCount(body, "loseAnswers", 0);
    faults.m_swapAnswers = smallCount(body, "swapAnswers", 0);
    for (const std::string& name : stringsField(body, "minions")) {
        const TaskId task(name);
        const auto minion = m_targets.m_fleet.findMinion(task);
        if (!minion)
            return errorReply(404, "no minion \"" + name + '"');
        minion->setFaults(faults);
        if (action == MinionAction::Leave)
            minion->leave();
        else if (action == MinionAction::Vanish)
            minion->close();
        else if (action == MinionAction::Die)
            failTask(task);
    }
    return jsonReply({});
}

void ControlApi::failTask(const TaskId& task)
{
    for (const auto& worker : m_targets.m_fleet.workers())
        worker->failTask(task, "killed");
}

HttpReply ControlApi::setPartition(const json::object& body)
{
    requireKnown(body, { "name", "daemons", "daemonDomains", "parts", "targetDomains", "mode" });
    static constexpr Choice<PartitionMode> modes[] = { { "drop", PartitionMode::Drop },
        { "delay", PartitionMode::Delay }, { "loseAnswers", PartitionMode::LoseAnswers } };
    static constexpr Choice<PlatformPart> parts[] = { { "log", PlatformPart::Log }, { "hosts", PlatformPart::Hosts },
        { "workers", PlatformPart::Workers }, { "minions", PlatformPart::Minions } };
    Partition partition;
    partition.m_name = stringField(body, "name");
    if (partition.m_name.empty())
        return errorReply(400, "\"name\" must name the partition");
    partition.m_daemons = stringsField(body, "daemons");
    partition.m_daemonDomains = stringsField(body, "daemonDomains");
    for (const std::string& part : stringsField(body, "parts"))
        partition.m_parts.push_back(choose("parts", part, parts));
    partition.m_targetDomains = stringsField(body, "targetDomains");
    partition.m_mode = choose("mode", stringField(body, "mode", "drop"), modes);
    m_targets.m_faults.set(std::move(partition));
    return jsonReply({});
}

HttpReply ControlApi::reset(const json::object& body)
{
    requireKnown(body, { "history" });
    m_targets.m_log.setFaults({});
    m_targets.m_faults.clear();
    m_targets.m_hosts.reset();
    for (const auto& worker : m_targets.m_fleet.workers()) {
        if (!worker->isAlive())
            worker->restart(currentTime());
        worker->setFaults({});
    }
    for (const auto& minion : m_targets.m_fleet.minions())
        minion->setFaults({});
    if (boolField(body, "history", false)) {
        m_targets.m_violations.clear();
        m_targets.m_executions.clear();
    }
    return jsonReply({});
}

} // namespace sapphiredale::standin
