// JSON encoding of stream records.

#include "ownership/StreamRecordCodec.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <limits>

namespace sapphiredale::ownership {

namespace {

    namespace json = boost::json;

    /// Longest identifier or detail that is accepted; longer details are cut off before they are written.
    constexpr std::size_t maxTextBytes = 512;
    constexpr std::array<std::string_view, 3> outcomeNames { "finished", "failed", "cancelled" };
    constexpr std::array<TaskState, 3> finalStates { TaskState::Ended, TaskState::Failed, TaskState::Stopped };

    /// Cuts a text at a character boundary of UTF-8.
    std::string shortened(const std::string& text)
    {
        if (text.size() <= maxTextBytes)
            return text;
        std::size_t length = maxTextBytes;
        while (length > 0 && (static_cast<unsigned char>(text[length]) & 0xC0U) == 0x80U)
            --length;
        return text.substr(0, length);
    }

    void write(json::object& out, const JobAccepted& body)
    {
        out["type"] = "jobAccepted";
        out["job"] = body.m_request.m_job.value();
        out["workload"] = body.m_request.m_workload.value();
        out["tasks"] = body.m_request.m_taskCount;
    }

    void write(json::object& out, const JobEnded& body)
    {
        out["type"] = "jobEnded";
        out["job"] = body.m_job.value();
        out["outcome"] = outcomeNames[static_cast<std::size_t>(body.m_outcome)];
        out["detail"] = shortened(body.m_detail);
    }

    void write(json::object& out, const TaskEnded& body)
    {
        out["type"] = "taskEnded";
        out["task"] = body.m_task.value();
        out["attempt"] = body.m_attempt;
        out["state"] = nameOf(body.m_state);
        out["worker"] = body.m_worker.value();
    }

    void write(json::object& out, const HomeReleased& body)
    {
        out["type"] = "homeReleased";
        out["task"] = body.m_task.value();
        out["version"] = body.m_version;
        out["takeover"] = body.m_takeover;
    }

    void write(json::object& out, const HomeTaken& body)
    {
        out["type"] = "homeTaken";
        out["task"] = body.m_task.value();
        out["taker"] = body.m_taker.value();
        out["takeover"] = body.m_takeover;
        out["lastPresence"] = body.m_lastPresence.value();
    }

    void write(json::object& out, const DomainPresent& body)
    {
        out["type"] = "domainPresent";
        out["epoch"] = body.m_epoch;
    }

    /// Reads members of an object and remembers the first one that is missing or has a wrong form.
    class Reader {
    public:
        explicit Reader(const json::object& object)
            : m_object(object)
        {
        }

        std::string text(std::string_view name, bool mayBeEmpty = false)
        {
            const json::value* value = m_object.if_contains(name);
            const json::string* found = value ? value->if_string() : nullptr;
            if (!found || found->size() > maxTextBytes || (found->empty() && !mayBeEmpty)) {
                fail(name);
                return {};
            }
            return { found->data(), found->size() };
        }

        template <typename Number> Number number(std::string_view name)
        {
            const json::value* value = m_object.if_contains(name);
            std::uint64_t result = 0;
            if (value && value->is_uint64())
                result = value->get_uint64();
            else if (value && value->is_int64() && value->get_int64() >= 0)
                result = static_cast<std::uint64_t>(value->get_int64());
            else
                fail(name);
            if (result > std::numeric_limits<Number>::max())
                fail(name);
            return static_cast<Number>(result);
        }

        template <typename Names> std::size_t choice(std::string_view name, const Names& names)
        {
            const std::string found = text(name);
            for (std::size_t i = 0; i < names.size(); ++i) {
                if (names[i] == found)
                    return i;
            }
            fail(name);
            return 0;
        }

        const std::string& wrongMember() const { return m_wrongMember; }

    private:
        void fail(std::string_view name)
        {
            if (m_wrongMember.empty())
                m_wrongMember = name;
        }

        const json::object& m_object;
        std::string m_wrongMember;
    };

    JobAccepted readJobAccepted(Reader& in)
    {
        return { { JobId(in.text("job")), WorkloadId(in.text("workload")), in.number<std::uint32_t>("tasks") } };
    }

    JobEnded readJobEnded(Reader& in)
    {
        return { JobId(in.text("job")), static_cast<JobOutcome>(in.choice("outcome", outcomeNames)),
            in.text("detail", true) };
    }

    TaskEnded readTaskEnded(Reader& in)
    {
        constexpr std::array<std::string_view, 3> names { "ended", "failed", "stopped" };
        return { TaskId(in.text("task")), in.number<std::uint32_t>("attempt"), finalStates[in.choice("state", names)],
            WorkerId(in.text("worker", true)) };
    }

    HomeReleased readHomeReleased(Reader& in)
    {
        return { TaskId(in.text("task")), in.number<std::uint64_t>("version"), in.number<std::uint64_t>("takeover") };
    }

    HomeTaken readHomeTaken(Reader& in)
    {
        return { TaskId(in.text("task")), FailureDomainId(in.text("taker")), in.number<std::uint64_t>("takeover"),
            RecordId(in.text("lastPresence", true)) };
    }

    bool readBody(const std::string& type, Reader& in, StreamRecordBody& body)
    {
        if (type == "jobAccepted")
            body = readJobAccepted(in);
        else if (type == "jobEnded")
            body = readJobEnded(in);
        else if (type == "taskEnded")
            body = readTaskEnded(in);
        else if (type == "homeReleased")
            body = readHomeReleased(in);
        else if (type == "homeTaken")
            body = readHomeTaken(in);
        else if (type == "domainPresent")
            body = DomainPresent { in.number<std::uint64_t>("epoch") };
        else
            return false;
        return true;
    }

} // namespace

std::string encodeRecord(const StreamRecord& record)
{
    json::object out;
    out["id"] = record.m_id.value();
    std::visit([&](const auto& body) { write(out, body); }, record.m_body);
    return json::serialize(out);
}

Result<StreamRecord> decodeRecord(std::string_view text)
{
    if (text.size() > maxRecordBytes)
        return Error { ErrorKind::InvalidRequest, "the record is too long" };
    json::parse_options options;
    options.max_depth = 8;
    boost::system::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error, {}, options);
    if (error || !value.is_object())
        return Error { ErrorKind::InvalidRequest, "the record is not a JSON object" };

    Reader in(value.get_object());
    StreamRecord record;
    record.m_id = RecordId(in.text("id"));
    const std::string type = in.text("type");
    if (!in.wrongMember().empty())
        return Error { ErrorKind::InvalidRequest, "wrong member " + in.wrongMember() };
    if (!readBody(type, in, record.m_body))
        return Error { ErrorKind::NotFound, "unknown record type " + type };
    if (!in.wrongMember().empty())
        return Error { ErrorKind::InvalidRequest, "wrong member " + in.wrongMember() };
    return record;
}

} // namespace sapphiredale::ownership
