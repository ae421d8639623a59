// Damaged documents of the platform, stored records and messages between daemons: none may end the process or be used
// in a way that breaks the scheduler. A valid document is damaged in one JSON value or some bytes, decoded, and what is
// accepted goes through a scheduler.

#include "controller/InnerProtocol.h"
#include "fuzz/Fuzzing.h"
#include "jobs/Election.h"
#include "jobs/JobScheduler.h"
#include "platform/Documents.h"
#include "platform/Workers.h"

#include <boost/json.hpp>
#include <iterator>

namespace sapphiredale::fuzz {

namespace {

    namespace json = boost::json;
    using std::chrono::seconds;

    enum class Kind : std::uint8_t {
        Configuration,
        WorkerEntry,
        Submission,
        Report,
        StoredJob,
        StoredProgress,
        Term,
        Hello,
        Question,
        Advice,
        StoreRequest,
    };
    constexpr int kindCount = 11;

    const char* const jobName = "00112233445566aa";

    std::string validDocument(Kind kind)
    {
        switch (kind) {
        case Kind::Configuration:
            return R"({"version":7,"routes":[{"name":"q","host":"h.example","path_prefix":"/a/","timeout_ms":2500,
                "target_latency_ms":250,"priority":2,"service":"s","max_attempts":4,"slack_factor":1.5,
                "advice":{"decide_ms":28.5,"period_ms":0.39,"valid_ms":2000}}],"services":[],
                "limits":{"max_body_bytes":1000,"max_header_bytes":900,"idle_timeout_ms":5}})";
        case Kind::WorkerEntry:
            return R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready","born":1700000000123,
                "capacity":{"cpu":64000,"mem_mb":32768,"gpu":1},"labels":["a","r1-3"],"sequence":4})";
        case Kind::Submission:
            return R"({"spec":"text","repeat_count":2,"first_ms":1000,"interval_ms":50,"steps":[{"count":3,"cpu":500,
                "mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},{"count":2,"cpu":2000,"gang":true,"gpu":1,
                "estimate_ms":7000,"depends_on":[0],"checkpointing":true,"anti_affinity":1}]})";
        case Kind::Report:
            return R"({"clock_ms":482113,"born":1700000000123,"running":[["00112233445566aa.0.0.1",2,"00bb",41,700],
                ["00112233445566aa.0.0.2",1,"",5,0]],"finished":[[58,"00112233445566aa.0.0.0",1,"done",""]]})";
        case Kind::StoredJob: {
            auto spec = userplatform::decodeSubmission(validDocument(Kind::Submission));
            return jobs::encodeJobRecord({ JobId(jobName), { "q", "s", 1, 3, 1.5, seconds(1), std::nullopt },
                valueOf(spec), 1000, TeamId("t"), { 4000, 8192, 0 } });
        }
        case Kind::StoredProgress: {
            jobs::JobProgress progress;
            progress.m_state = jobs::JobState::Running;
            progress.m_done = { { 0, 0, 0 }, { 0, 0, 1 } };
            progress.m_failedRuns[{ 0, 0, 2 }] = { 1, 9 };
            progress.m_finished = { { 1, { 0, 1 } } };
            progress.m_places[{ 0, 0 }] = { WorkerId("i-1"), WorkerId("i-2") };
            return jobs::encodeProgress(progress);
        }
        case Kind::Term:
            return jobs::encodeTermRecord({ jobs::TermRecord::Kind::Claim, 4, DaemonId("d"), "10.0.0.1:7720", 2, {},
                jobs::TermRecord::Leases {
                    true, std::chrono::seconds(7), { { WorkerId("i-1"), std::chrono::milliseconds(5300) } } } });
        case Kind::Hello:
            return encode(controller::inner::Hello { DaemonId("d"), "10.0.0.1:7720", false });
        case Kind::Question:
            return controller::inner::encode(
                jobs::AdviceRequest { { JobId(jobName), 0, 1 }, { WorkerId("i-1") }, seconds(1) });
        case Kind::Advice:
            return controller::inner::encode(jobs::Advice { { { WorkerId("i-1"), "ticket" } }, seconds(2) });
        case Kind::StoreRequest:
            return encode(controller::inner::StoreRequest { "key", "value" });
        }
        return {};
    }

    /// The values of the document, in the order in which they are written.
    void collectValues(json::value& value, std::vector<json::value*>& values)
    {
        values.push_back(&value);
        if (json::array* array = value.if_array()) {
            for (json::value& element : *array)
                collectValues(element, values);
        } else if (json::object* object = value.if_object()) {
            for (auto& member : *object)
                collectValues(member.value(), values);
        }
    }

    json::value oddValue(int choice)
    {
        switch (choice) {
        case 0:
            return nullptr;
        case 1:
            return true;
        case 2:
            return -1;
        case 3:
            return std::numeric_limits<std::int64_t>::max();
        case 4:
            return std::numeric_limits<std::int64_t>::min();
        case 5:
            return std::numeric_limits<std::uint64_t>::max();
        case 6:
            return 1e300;
        case 7:
            return -0.5;
        case 8:
            return "";
        case 9:
            return json::string(300, 'x');
        case 10:
            return json::array { 1, "2", nullptr };
        case 11:
            return json::object { { "cpu", "x" } };
        case 12:
            return std::int64_t { 4294967295 };
        default:
            return "\xff\xfe";
        }
    }
    constexpr int oddValueCount = 14;

    std::string damageValue(const std::string& document)
    {
        json::value value = json::parse(document);
        std::vector<json::value*> values;
        collectValues(value, values);
        *values[*rc::gen::inRange<std::size_t>(0, values.size())] = oddValue(*rc::gen::inRange(0, oddValueCount));
        return json::serialize(value);
    }

    std::string damageBytes(std::string document)
    {
        const auto changes = *rc::gen::inRange(1, 4);
        for (int i = 0; i < changes && !document.empty(); ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, document.size());
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                document[at] = static_cast<char>(*rc::gen::inRange(0, 256));
                break;
            case 1:
                document.resize(at);
                break;
            case 2:
                document.erase(at, 1);
                break;
            default:
                document.insert(at, 1, *rc::gen::elementOf(std::string("0123456789-+eE.,:[]{}\" \\")));
            }
        }
        return document;
    }

    /// Passes what was accepted through a scheduler with one worker.
    void schedule(Kind kind, const std::string& document)
    {
        const TimePoint begin { seconds(1000) };
        jobs::JobScheduler scheduler { {} };
        const auto entryText = kind == Kind::WorkerEntry ? document : validDocument(Kind::WorkerEntry);
        if (const auto entry = userplatform::decodeWorkerEntry("i-1", entryText))
            scheduler.workerListed(*entry, begin);
        jobs::JobRecord record { JobId(jobName), { "q", "s", 1, 3, 1.5, seconds(1), std::nullopt }, {}, 1000, {}, {} };
        record.m_spec = valueOf(userplatform::decodeSubmission(validDocument(Kind::Submission)));
        if (kind == Kind::Submission) {
            const auto spec = userplatform::decodeSubmission(document);
            if (!succeeded(spec))
                return;
            record.m_spec = valueOf(spec);
        } else if (kind == Kind::StoredJob) {
            const auto stored = jobs::decodeJobRecord(record.m_job, document);
            if (!succeeded(stored))
                return;
            record = valueOf(stored);
        }
        jobs::JobProgress progress;
        if (kind == Kind::StoredProgress) {
            const auto stored = jobs::decodeProgress(document);
            if (!succeeded(stored))
                return;
            progress = valueOf(stored);
        }
        scheduler.addJob(record, progress, 2000, begin);
        for (int i = 0; i < 4; ++i) {
            const TimePoint now = begin + seconds(i);
            const auto text = kind == Kind::Report && i == 2 ? document : validDocument(Kind::Report);
            auto report = userplatform::decodeWorkerReport(text);
            if (succeeded(report))
                scheduler.workerReported(WorkerId("i-1"), valueOf(report).m_report, now);
            scheduler.step(2000 + 1000 * i, now, { 1, 1 });
            const auto batch = scheduler.takeChanges();
            for (const jobs::ProgressRecord& changed : batch.m_records)
                RC_ASSERT(succeeded(jobs::decodeProgress(jobs::encodeProgress(changed.m_progress))));
            scheduler.stored(batch.m_number);
        }
    }

    void decode(Kind kind, const std::string& document)
    {
        switch (kind) {
        case Kind::Configuration:
            userplatform::decodeConfiguration(document);
            return;
        case Kind::WorkerEntry:
        case Kind::Submission:
        case Kind::Report:
        case Kind::StoredJob:
        case Kind::StoredProgress:
            return schedule(kind, document);
        case Kind::Term:
            jobs::decodeTermRecord(document);
            return;
        case Kind::Hello:
            controller::inner::decodeHello(document);
            return;
        case Kind::Question:
            controller::inner::decodeQuestion(document);
            return;
        case Kind::Advice:
            controller::inner::decodeAdvice(document);
            return;
        case Kind::StoreRequest:
            controller::inner::decodeStoreRequest(document);
            return;
        }
    }

    void checkDamagedDocument()
    {
        const auto kind = static_cast<Kind>(*rc::gen::inRange(0, kindCount));
        const std::string valid = validDocument(kind);
        boost::system::error_code error;
        json::parse(valid, error);
        const bool isJson = !error;
        const std::string damaged = isJson && *rc::gen::arbitrary<bool>() ? damageValue(valid) : damageBytes(valid);
        RC_LOG() << damaged << std::endl;
        decode(kind, damaged);
    }

} // namespace

} // namespace sapphiredale::fuzz

int main()
{
    using namespace sapphiredale::fuzz;
    constexpr int documentsPerRun = 20;
    const auto many = [] {
        for (int i = 0; i < documentsPerRun; ++i)
            checkDamagedDocument();
    };
    return runTestable("documents", false, many) ? 0 : 1;
}
