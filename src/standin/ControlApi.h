// HTTP handlers that stage faults and show what happened (docs/API.md, "Stand-in control").
#pragma once

#include "standin/PlatformApi.h"

#include <boost/json/fwd.hpp>

namespace sapphiredale::standin {

/// Everything that the control listener acts on; outlives it.
struct ControlTargets {
    LogStore& m_log;
    HostDirectory& m_hosts;
    WorkerFleet& m_fleet;
    FaultBoard& m_faults;
    Executions& m_executions;
    Violations& m_violations;
};

class ControlApi {
public:
    explicit ControlApi(ControlTargets targets)
        : m_targets(targets)
    {
    }

    HttpReply handle(const HttpRequest&);

private:
    HttpReply show(const HttpRequest&);
    HttpReply change(const HttpRequest&);
    HttpReply setLog(const boost::json::object&);
    HttpReply setWorkers(const boost::json::object&);
    HttpReply setHosts(const boost::json::object&);
    HttpReply setMinions(const boost::json::object&);
    HttpReply setPartition(const boost::json::object&);
    HttpReply reset(const boost::json::object&);
    HttpReply violations() const;
    HttpReply executions(const HttpRequest&) const;
    HttpReply partitions() const;
    HttpReply state() const;
    void failTask(const TaskId&);

    ControlTargets m_targets;
};

} // namespace sapphiredale::standin
