// A term on a stand-in of the store, and records for it.
#pragma once

#include "controller/SchedulerTerm.h"
#include "tests/controller/StoreStandIn.h"

#include <memory>
#include <string>

namespace sapphiredale::controller {

/// A term with its collaborators; none of them outlives it. Without other daemons and with authority throughout.
struct TermFixture {
    TermFixture(StoreStandIn& store, boost::asio::io_context& context, std::uint64_t number = 2,
        Duration jobRetention = std::chrono::seconds(150), std::uint32_t progressPartition = 0,
        std::uint32_t recordBytes = 262144)
        : m_adviceDispatcher(context, nullptr)
        , m_log(openLog())
    {
        m_site.m_store = store.address();
        m_site.m_recordBytes = recordBytes;
        TermAuthority authority;
        authority.m_mayIssueOrders = [this] { return m_mayIssueOrders; };
        authority.m_steppedDown = [] {};
        authority.m_announceProgressPartition = [](std::uint32_t) {};
        authority.m_isProgressPartitionAnnounced = [](std::uint32_t) { return true; };
        authority.m_grantLeases = [] {};
        authority.m_leaseLimit = [] { return TimePoint::max(); };
        authority.m_successorWaitEnd = [] { return TimePoint::max(); };
        authority.m_announceLateLeases = [](TimePoint) {};
        authority.m_newestNumber = [number] { return number; };
        authority.m_announceLeaseEnds = [](const std::map<WorkerId, TimePoint>&) {};
        authority.m_isLeaseWithheld = [](const WorkerId&) { return false; };
        const jobs::LeaseBounds earlierLeases { bootNow() + std::chrono::seconds(8) + std::chrono::milliseconds(600),
            {} };
        m_term = std::make_unique<SchedulerTerm>(context, m_site,
            TermSettings { number, progressPartition, earlierLeases, std::chrono::seconds(8), jobRetention },
            m_adviceDispatcher, *m_log, std::move(authority));
    }

    static std::unique_ptr<observability::EventLog> openLog()
    {
        observability::EventLogSettings settings;
        settings.m_minimum = observability::Severity::Error;
        return valueOf(observability::EventLog::open(settings));
    }

    bool m_mayIssueOrders = true;
    SiteSettings m_site;
    AdviceDispatcher m_adviceDispatcher;
    std::unique_ptr<observability::EventLog> m_log;
    std::unique_ptr<SchedulerTerm> m_term;
};

inline std::string jobText(const std::string& name)
{
    jobs::JobRecord record;
    record.m_job = JobId(name);
    record.m_policy.m_queue = "q";
    record.m_spec.m_steps.resize(1);
    record.m_spec.m_steps[0].m_count = 1;
    return jobs::encodeJobRecord(record);
}

inline std::string workerText(const std::string& address, const std::string& state = "ready", int bornMs = 1)
{
    return R"({"service":"s","address":")" + address
        + R"(","zone":"z","version":"1","slots":8,"cold_remaining_ms":0,"sequence":1,"born":)" + std::to_string(bornMs)
        + R"(,"state":")" + state + R"(",)" + R"("capacity":{"cpu":32000,"mem_mb":131072},"labels":["a","r1"]})";
}

inline std::string runningText()
{
    jobs::JobProgress progress;
    progress.m_state = jobs::JobState::Running;
    progress.m_places[{ 0, 0 }] = { WorkerId("w") };
    return jobs::encodeProgress(progress);
}

} // namespace sapphiredale::controller
