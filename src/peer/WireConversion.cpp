// Field by field conversion between the messages and their protobuf form.

#include "peer/WireConversion.h"

#include <type_traits>
#include <utility>

namespace sapphiredale::peer {

namespace {

    /// Longest identifier, address or state name; file names, keys and addresses are far shorter.
    constexpr std::size_t maxNameBytes = 1024;

    std::int64_t toMillis(WallTime time) { return time.time_since_epoch().count(); }
    WallTime toWallTime(std::int64_t millis) { return WallTime(std::chrono::milliseconds(millis)); }

    /// Takes values out of a protobuf message and remembers whether one of them was out of its range.
    class Reader {
    public:
        template <typename Tag> void take(std::string* from, Identifier<Tag>& to)
        {
            check(from->size() <= maxNameBytes);
            to = Identifier<Tag>(std::move(*from));
        }
        void takeName(std::string* from, std::string& to)
        {
            check(from->size() <= maxNameBytes);
            to = std::move(*from);
        }
        void check(bool valid) { m_valid = m_valid && valid; }
        bool valid() const { return m_valid; }

    private:
        bool m_valid = true;
    };

    void write(const Error& from, wire::Error* to)
    {
        const std::string_view name = answerFor(from.m_kind).m_name;
        to->set_kind(name.data(), name.size());
        to->set_detail(from.m_detail);
    }

    /// A kind that this version does not know becomes Internal, which claims least: the work may have run.
    void read(Reader&, wire::Error& from, Error& to)
    {
        to.m_kind = ErrorKind::Internal;
        for (std::size_t i = 0; i < errorKindCount; ++i) {
            if (answerFor(static_cast<ErrorKind>(i)).m_name == from.kind())
                to.m_kind = static_cast<ErrorKind>(i);
        }
        to.m_detail = std::move(*from.mutable_detail());
    }

    template <typename Message> void writeError(const std::optional<Error>& from, Message& to)
    {
        if (from)
            write(*from, to.mutable_error());
    }

    template <typename Message> void readError(Reader& reader, Message& from, std::optional<Error>& to)
    {
        if (from.has_error())
            read(reader, *from.mutable_error(), to.emplace());
    }

    void write(const Resources& from, wire::Resources* to)
    {
        to->set_cpu_millis(from.m_cpuMillis);
        to->set_memory_mib(from.m_memoryMiB);
        to->set_accelerators(from.m_accelerators);
    }

    Resources read(const wire::Resources& from)
    {
        return { from.cpu_millis(), from.memory_mib(), from.accelerators() };
    }

    void write(const Heartbeat& from, wire::Heartbeat& to)
    {
        to.set_daemon(from.m_daemon.value());
        to.set_failure_domain(from.m_failureDomain.value());
        to.set_region(from.m_region.value());
        to.set_peer_address(from.m_peerAddress);
        to.set_caller_address(from.m_callerAddress);
        to.set_relay_address(from.m_relayAddress);
        to.set_software_version(from.m_softwareVersion);
        to.set_configuration_version(from.m_configurationVersion);
        to.set_configuration_hash(from.m_configurationHash);
        to.set_leaving(from.m_leaving);
        to.set_cut_off_from_log(from.m_cutOffFromLog);
        for (const ServiceSlots& slots : from.m_freeSlots) {
            wire::ServiceSlots* added = to.add_free_slots();
            added->set_workload(slots.m_workload.value());
            added->set_free_slots(slots.m_freeSlots);
        }
        to.set_is_scheduler(from.m_isScheduler);
        to.set_epoch(from.m_epoch);
        to.set_sequence(from.m_sequence);
        to.set_acknowledged_incarnation(from.m_acknowledgedIncarnation);
        to.set_acknowledged_sequence(from.m_acknowledgedSequence);
        to.set_has_description(from.m_hasDescription);
        to.set_has_configuration(from.m_hasConfiguration);
        for (const FailureDomainId& domain : from.m_silentDomains)
            to.add_silent_domains(domain.value());
        to.set_operator_address(from.m_operatorAddress);
        to.set_configuration_next_offset(from.m_configurationNextOffset);
    }

    void read(Reader& reader, wire::Heartbeat& from, Heartbeat& to)
    {
        reader.take(from.mutable_daemon(), to.m_daemon);
        reader.take(from.mutable_failure_domain(), to.m_failureDomain);
        reader.take(from.mutable_region(), to.m_region);
        reader.takeName(from.mutable_peer_address(), to.m_peerAddress);
        reader.takeName(from.mutable_caller_address(), to.m_callerAddress);
        reader.takeName(from.mutable_relay_address(), to.m_relayAddress);
        reader.takeName(from.mutable_software_version(), to.m_softwareVersion);
        to.m_configurationVersion = from.configuration_version();
        to.m_configurationHash = from.configuration_hash();
        to.m_leaving = from.leaving();
        to.m_cutOffFromLog = from.cut_off_from_log();
        reader.check(static_cast<std::size_t>(from.free_slots_size()) <= maxRows);
        for (wire::ServiceSlots& slots : *from.mutable_free_slots()) {
            ServiceSlots& added = to.m_freeSlots.emplace_back();
            reader.take(slots.mutable_workload(), added.m_workload);
            added.m_freeSlots = slots.free_slots();
        }
        to.m_isScheduler = from.is_scheduler();
        to.m_epoch = from.epoch();
        to.m_sequence = from.sequence();
        to.m_acknowledgedIncarnation = from.acknowledged_incarnation();
        to.m_acknowledgedSequence = from.acknowledged_sequence();
        to.m_hasDescription = from.has_description();
        to.m_hasConfiguration = from.has_configuration();
        reader.check(static_cast<std::size_t>(from.silent_domains_size()) <= maxRows);
        for (std::string& domain : *from.mutable_silent_domains())
            reader.take(&domain, to.m_silentDomains.emplace_back());
        reader.takeName(from.mutable_operator_address(), to.m_operatorAddress);
        to.m_configurationNextOffset = from.configuration_next_offset();
    }

    void write(const HeartbeatAck& from, wire::HeartbeatAck& to)
    {
        to.set_configuration_version(from.m_configurationVersion);
        to.set_configuration_hash(from.m_configurationHash);
    }

    void read(Reader&, wire::HeartbeatAck& from, HeartbeatAck& to)
    {
        to = { from.configuration_version(), from.configuration_hash() };
    }

    void write(const ConfigurationRequest& from, wire::ConfigurationRequest& to)
    {
        to.set_version(from.m_version);
        to.set_offset(from.m_offset);
    }

    void read(Reader&, wire::ConfigurationRequest& from, ConfigurationRequest& to)
    {
        to = { from.version(), from.offset() };
    }

    void write(const ConfigurationTransfer& from, wire::ConfigurationTransfer& to)
    {
        to.set_version(from.m_version);
        to.set_hash(from.m_hash);
        to.set_total_bytes(from.m_totalBytes);
        to.set_offset(from.m_offset);
        to.set_chunk(from.m_chunk);
    }

    void read(Reader& reader, wire::ConfigurationTransfer& from, ConfigurationTransfer& to)
    {
        reader.check(from.chunk().size() <= maxChunkBytes);
        to = { from.version(), from.hash(), from.total_bytes(), from.offset(), std::move(*from.mutable_chunk()) };
    }

    void write(const SubmitJob& from, wire::SubmitJob& to)
    {
        to.set_job(from.m_job.value());
        to.set_workload(from.m_workload.value());
        to.set_task_count(from.m_taskCount);
        if (from.m_deadline)
            to.set_deadline_ms(toMillis(*from.m_deadline));
    }

    void read(Reader& reader, wire::SubmitJob& from, SubmitJob& to)
    {
        reader.take(from.mutable_job(), to.m_job);
        reader.take(from.mutable_workload(), to.m_workload);
        to.m_taskCount = from.task_count();
        reader.check(!to.m_job.empty() && to.m_taskCount > 0);
        if (from.has_deadline_ms())
            to.m_deadline = toWallTime(from.deadline_ms());
    }

    void write(const SubmitJobReply& from, wire::SubmitJobReply& to)
    {
        to.set_job(from.m_job.value());
        to.set_durable(from.m_durable);
        writeError(from.m_error, to);
    }

    void read(Reader& reader, wire::SubmitJobReply& from, SubmitJobReply& to)
    {
        reader.take(from.mutable_job(), to.m_job);
        to.m_durable = from.durable();
        readError(reader, from, to.m_error);
    }

    void write(const CancelJob& from, wire::CancelJob& to) { to.set_job(from.m_job.value()); }
    void read(Reader& reader, wire::CancelJob& from, CancelJob& to) { reader.take(from.mutable_job(), to.m_job); }

    void write(const CancelJobReply& from, wire::CancelJobReply& to)
    {
        to.set_job(from.m_job.value());
        to.set_found(from.m_found);
        writeError(from.m_error, to);
    }

    void read(Reader& reader, wire::CancelJobReply& from, CancelJobReply& to)
    {
        reader.take(from.mutable_job(), to.m_job);
        to.m_found = from.found();
        readError(reader, from, to.m_error);
    }

    void write(const JobStatus& from, wire::JobStatus& to) { to.set_job(from.m_job.value()); }
    void read(Reader& reader, wire::JobStatus& from, JobStatus& to) { reader.take(from.mutable_job(), to.m_job); }

    void write(const JobStatusReply& from, wire::JobStatusReply& to)
    {
        to.set_job(from.m_job.value());
        to.set_state(static_cast<std::uint32_t>(from.m_state));
        to.set_workload(from.m_workload.value());
        to.set_waiting_tasks(from.m_waitingTasks);
        to.set_running_tasks(from.m_runningTasks);
        to.set_finished_tasks(from.m_finishedTasks);
        to.set_detail(from.m_detail);
        writeError(from.m_error, to);
    }

    void read(Reader& reader, wire::JobStatusReply& from, JobStatusReply& to)
    {
        reader.take(from.mutable_job(), to.m_job);
        // A state of a newer version is shown as unknown.
        if (from.state() <= static_cast<std::uint32_t>(JobState::Cancelled))
            to.m_state = static_cast<JobState>(from.state());
        reader.take(from.mutable_workload(), to.m_workload);
        to.m_waitingTasks = from.waiting_tasks();
        to.m_runningTasks = from.running_tasks();
        to.m_finishedTasks = from.finished_tasks();
        to.m_detail = std::move(*from.mutable_detail());
        readError(reader, from, to.m_error);
    }

    void write(const ClaimRequest& from, wire::ClaimRequest& to)
    {
        to.set_key(from.m_key);
        to.set_claim(from.m_claim.value());
        to.set_deadline_ms(toMillis(from.m_deadline));
        to.set_request_hash(from.m_requestHash);
    }

    void read(Reader& reader, wire::ClaimRequest& from, ClaimRequest& to)
    {
        reader.takeName(from.mutable_key(), to.m_key);
        reader.take(from.mutable_claim(), to.m_claim);
        reader.check(!to.m_key.empty() && !to.m_claim.empty());
        to.m_deadline = toWallTime(from.deadline_ms());
        to.m_requestHash = from.request_hash();
    }

    void write(const RecordedOutcome& from, wire::RecordedOutcome* to)
    {
        to->set_http_status(from.m_httpStatus);
        to->set_content_type(from.m_contentType);
        to->set_body(from.m_body);
    }

    void read(Reader& reader, wire::RecordedOutcome& from, RecordedOutcome& to)
    {
        to.m_httpStatus = from.http_status();
        reader.takeName(from.mutable_content_type(), to.m_contentType);
        to.m_body = std::move(*from.mutable_body());
    }

    void write(const ClaimReply& from, wire::ClaimReply& to)
    {
        to.set_claim(from.m_claim.value());
        to.set_verdict(static_cast<std::uint32_t>(from.m_verdict));
        if (from.m_outcome)
            write(*from.m_outcome, to.mutable_outcome());
        writeError(from.m_error, to);
    }

    void read(Reader& reader, wire::ClaimReply& from, ClaimReply& to)
    {
        reader.take(from.mutable_claim(), to.m_claim);
        // No default is safe here: an unknown verdict read as Refused would be reported as "not run".
        const bool known = from.verdict() <= static_cast<std::uint32_t>(ClaimVerdict::MayHaveRun);
        reader.check(known);
        if (known)
            to.m_verdict = static_cast<ClaimVerdict>(from.verdict());
        if (from.has_outcome())
            read(reader, *from.mutable_outcome(), to.m_outcome.emplace());
        readError(reader, from, to.m_error);
        reader.check(to.m_verdict != ClaimVerdict::Recorded || to.m_outcome.has_value());
    }

    void write(const ClaimOutcome& from, wire::ClaimOutcome& to)
    {
        to.set_key(from.m_key);
        to.set_claim(from.m_claim.value());
        write(from.m_outcome, to.mutable_outcome());
        to.set_not_run(from.m_notRun);
        to.set_incomplete(from.m_incomplete);
    }

    void read(Reader& reader, wire::ClaimOutcome& from, ClaimOutcome& to)
    {
        reader.takeName(from.mutable_key(), to.m_key);
        reader.take(from.mutable_claim(), to.m_claim);
        reader.check(from.has_outcome());
        read(reader, *from.mutable_outcome(), to.m_outcome);
        to.m_notRun = from.not_run();
        to.m_incomplete = from.incomplete();
    }

    void write(const TasksQuery& from, wire::TasksQuery& to)
    {
        to.set_after(from.m_after.value());
        to.set_limit(from.m_limit);
        to.set_workload(from.m_workload.value());
    }

    void read(Reader& reader, wire::TasksQuery& from, TasksQuery& to)
    {
        reader.take(from.mutable_after(), to.m_after);
        to.m_limit = from.limit();
        reader.take(from.mutable_workload(), to.m_workload);
    }

    void write(const TasksReply& from, wire::TasksReply& to)
    {
        for (const TaskRow& row : from.m_rows) {
            wire::TaskRow* added = to.add_rows();
            added->set_task(row.m_task.value());
            added->set_workload(row.m_workload.value());
            added->set_worker(row.m_worker.value());
            added->set_attempt(row.m_attempt);
            added->set_state(row.m_state);
            added->set_reason(row.m_reason);
            write(row.m_declared, added->mutable_declared());
            write(row.m_usage, added->mutable_usage());
        }
        to.set_more(from.m_more);
        writeError(from.m_error, to);
    }

    void read(Reader& reader, wire::TasksReply& from, TasksReply& to)
    {
        reader.check(static_cast<std::size_t>(from.rows_size()) <= maxRows);
        for (wire::TaskRow& row : *from.mutable_rows()) {
            TaskRow& added = to.m_rows.emplace_back();
            reader.take(row.mutable_task(), added.m_task);
            reader.take(row.mutable_workload(), added.m_workload);
            reader.take(row.mutable_worker(), added.m_worker);
            added.m_attempt = row.attempt();
            reader.takeName(row.mutable_state(), added.m_state);
            added.m_reason = std::move(*row.mutable_reason());
            added.m_declared = read(row.declared());
            added.m_usage = read(row.usage());
        }
        to.m_more = from.more();
        readError(reader, from, to.m_error);
    }

    void write(const WorkersQuery& from, wire::WorkersQuery& to)
    {
        to.set_after(from.m_after.value());
        to.set_limit(from.m_limit);
    }

    void read(Reader& reader, wire::WorkersQuery& from, WorkersQuery& to)
    {
        reader.take(from.mutable_after(), to.m_after);
        to.m_limit = from.limit();
    }

    void write(const WorkersReply& from, wire::WorkersReply& to)
    {
        for (const WorkerRow& row : from.m_rows) {
            wire::WorkerRow* added = to.add_rows();
            added->set_worker(row.m_worker.value());
            added->set_rack(row.m_rack.value());
            added->set_state(row.m_state);
            added->set_tasks(row.m_tasks);
            write(row.m_capacity, added->mutable_capacity());
            write(row.m_assigned, added->mutable_assigned());
            write(row.m_usage, added->mutable_usage());
        }
        to.set_more(from.m_more);
        writeError(from.m_error, to);
    }

    void read(Reader& reader, wire::WorkersReply& from, WorkersReply& to)
    {
        reader.check(static_cast<std::size_t>(from.rows_size()) <= maxRows);
        for (wire::WorkerRow& row : *from.mutable_rows()) {
            WorkerRow& added = to.m_rows.emplace_back();
            reader.take(row.mutable_worker(), added.m_worker);
            reader.take(row.mutable_rack(), added.m_rack);
            reader.takeName(row.mutable_state(), added.m_state);
            added.m_tasks = row.tasks();
            added.m_capacity = read(row.capacity());
            added.m_assigned = read(row.assigned());
            added.m_usage = read(row.usage());
        }
        to.m_more = from.more();
        readError(reader, from, to.m_error);
    }

    void write(const MinionsQuery& from, wire::MinionsQuery& to) { to.set_known_generation(from.m_knownGeneration); }
    void read(Reader&, wire::MinionsQuery& from, MinionsQuery& to) { to.m_knownGeneration = from.known_generation(); }

    void write(const MinionsReply& from, wire::MinionsReply& to)
    {
        to.set_generation(from.m_generation);
        to.set_unchanged(from.m_unchanged);
        for (const MinionRow& row : from.m_rows) {
            wire::MinionRow* added = to.add_rows();
            added->set_minion(row.m_minion.value());
            added->set_workload(row.m_workload.value());
            added->set_address(row.m_address);
            added->set_slots(row.m_slots);
            added->set_connections(row.m_connections);
        }
        writeError(from.m_error, to);
    }

    void read(Reader& reader, wire::MinionsReply& from, MinionsReply& to)
    {
        to.m_generation = from.generation();
        to.m_unchanged = from.unchanged();
        reader.check(static_cast<std::size_t>(from.rows_size()) <= maxRows);
        for (wire::MinionRow& row : *from.mutable_rows()) {
            MinionRow& added = to.m_rows.emplace_back();
            reader.take(row.mutable_minion(), added.m_minion);
            reader.take(row.mutable_workload(), added.m_workload);
            reader.takeName(row.mutable_address(), added.m_address);
            added.m_slots = row.slots();
            added.m_connections = row.connections();
        }
        readError(reader, from, to.m_error);
    }

    void write(const ExplainQuery& from, wire::ExplainQuery& to) { to.set_task(from.m_task.value()); }
    void read(Reader& reader, wire::ExplainQuery& from, ExplainQuery& to)
    {
        reader.take(from.mutable_task(), to.m_task);
    }

    void write(const ExplainReply& from, wire::ExplainReply& to)
    {
        to.set_task(from.m_task.value());
        to.set_state(from.m_state);
        to.set_worker(from.m_worker.value());
        to.set_reason(from.m_reason);
        to.set_detail(from.m_detail);
        to.set_release(from.m_release);
        writeError(from.m_error, to);
    }

    void read(Reader& reader, wire::ExplainReply& from, ExplainReply& to)
    {
        reader.take(from.mutable_task(), to.m_task);
        reader.takeName(from.mutable_state(), to.m_state);
        reader.take(from.mutable_worker(), to.m_worker);
        reader.takeName(from.mutable_reason(), to.m_reason);
        to.m_detail = std::move(*from.mutable_detail());
        to.m_release = std::move(*from.mutable_release());
        readError(reader, from, to.m_error);
    }

    struct PayloadWriter {
        wire::Envelope& m_to;

        void operator()(const Heartbeat& m) const { write(m, *m_to.mutable_heartbeat()); }
        void operator()(const HeartbeatAck& m) const { write(m, *m_to.mutable_heartbeat_ack()); }
        void operator()(const ConfigurationRequest& m) const { write(m, *m_to.mutable_configuration_request()); }
        void operator()(const ConfigurationTransfer& m) const { write(m, *m_to.mutable_configuration_transfer()); }
        void operator()(const SubmitJob& m) const { write(m, *m_to.mutable_submit_job()); }
        void operator()(const SubmitJobReply& m) const { write(m, *m_to.mutable_submit_job_reply()); }
        void operator()(const CancelJob& m) const { write(m, *m_to.mutable_cancel_job()); }
        void operator()(const CancelJobReply& m) const { write(m, *m_to.mutable_cancel_job_reply()); }
        void operator()(const JobStatus& m) const { write(m, *m_to.mutable_job_status()); }
        void operator()(const JobStatusReply& m) const { write(m, *m_to.mutable_job_status_reply()); }
        void operator()(const ClaimRequest& m) const { write(m, *m_to.mutable_claim_request()); }
        void operator()(const ClaimReply& m) const { write(m, *m_to.mutable_claim_reply()); }
        void operator()(const ClaimOutcome& m) const { write(m, *m_to.mutable_claim_outcome()); }
        void operator()(const TasksQuery& m) const { write(m, *m_to.mutable_tasks_query()); }
        void operator()(const TasksReply& m) const { write(m, *m_to.mutable_tasks_reply()); }
        void operator()(const WorkersQuery& m) const { write(m, *m_to.mutable_workers_query()); }
        void operator()(const WorkersReply& m) const { write(m, *m_to.mutable_workers_reply()); }
        void operator()(const MinionsQuery& m) const { write(m, *m_to.mutable_minions_query()); }
        void operator()(const MinionsReply& m) const { write(m, *m_to.mutable_minions_reply()); }
        void operator()(const ExplainQuery& m) const { write(m, *m_to.mutable_explain_query()); }
        void operator()(const ExplainReply& m) const { write(m, *m_to.mutable_explain_reply()); }
    };

    template <typename Message, typename Wire> ReadResult readInto(Wire* from, Payload& to)
    {
        Reader reader;
        read(reader, *from, to.emplace<Message>());
        return reader.valid() ? ReadResult::Ok : ReadResult::InvalidField;
    }

} // namespace

void writePayload(const Payload& payload, wire::Envelope& to) { std::visit(PayloadWriter { to }, payload); }

ReadResult readPayload(wire::Envelope& from, Payload& to)
{
    using Case = wire::Envelope;
    switch (from.payload_case()) {
    case Case::kHeartbeat:
        return readInto<Heartbeat>(from.mutable_heartbeat(), to);
    case Case::kHeartbeatAck:
        return readInto<HeartbeatAck>(from.mutable_heartbeat_ack(), to);
    case Case::kConfigurationRequest:
        return readInto<ConfigurationRequest>(from.mutable_configuration_request(), to);
    case Case::kConfigurationTransfer:
        return readInto<ConfigurationTransfer>(from.mutable_configuration_transfer(), to);
    case Case::kSubmitJob:
        return readInto<SubmitJob>(from.mutable_submit_job(), to);
    case Case::kSubmitJobReply:
        return readInto<SubmitJobReply>(from.mutable_submit_job_reply(), to);
    case Case::kCancelJob:
        return readInto<CancelJob>(from.mutable_cancel_job(), to);
    case Case::kCancelJobReply:
        return readInto<CancelJobReply>(from.mutable_cancel_job_reply(), to);
    case Case::kJobStatus:
        return readInto<JobStatus>(from.mutable_job_status(), to);
    case Case::kJobStatusReply:
        return readInto<JobStatusReply>(from.mutable_job_status_reply(), to);
    case Case::kClaimRequest:
        return readInto<ClaimRequest>(from.mutable_claim_request(), to);
    case Case::kClaimReply:
        return readInto<ClaimReply>(from.mutable_claim_reply(), to);
    case Case::kClaimOutcome:
        return readInto<ClaimOutcome>(from.mutable_claim_outcome(), to);
    case Case::kTasksQuery:
        return readInto<TasksQuery>(from.mutable_tasks_query(), to);
    case Case::kTasksReply:
        return readInto<TasksReply>(from.mutable_tasks_reply(), to);
    case Case::kWorkersQuery:
        return readInto<WorkersQuery>(from.mutable_workers_query(), to);
    case Case::kWorkersReply:
        return readInto<WorkersReply>(from.mutable_workers_reply(), to);
    case Case::kMinionsQuery:
        return readInto<MinionsQuery>(from.mutable_minions_query(), to);
    case Case::kMinionsReply:
        return readInto<MinionsReply>(from.mutable_minions_reply(), to);
    case Case::kExplainQuery:
        return readInto<ExplainQuery>(from.mutable_explain_query(), to);
    case Case::kExplainReply:
        return readInto<ExplainReply>(from.mutable_explain_reply(), to);
    case Case::PAYLOAD_NOT_SET:
        break;
    }
    return ReadResult::UnknownPayload;
}

} // namespace sapphiredale::peer
