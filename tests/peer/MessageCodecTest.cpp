// Tests of the message codec and the transfer of configuration files: hostile, truncated, newer and older messages.

#include "peer/MessageCodec.h"
#include "peer/ConfigurationChunks.h"
#include "peer/generated/peer.pb.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace sapphiredale::peer {

namespace {

    std::variant<Envelope, DecodeError> decodeText(const std::string& text)
    {
        return MessageCodec::decode(std::as_bytes(std::span(text)));
    }

    DecodeError refusalOf(const std::string& text)
    {
        const auto result = decodeText(text);
        CPPUNIT_ASSERT(std::holds_alternative<DecodeError>(result));
        return std::get<DecodeError>(result);
    }

    Envelope envelopeOf(Payload payload) { return { DaemonId("d1"), 77, 5, 42, 99, std::move(payload) }; }

    /// One message of every kind, with a value in every field.
    std::vector<Envelope> everyMessage()
    {
        const Error error { ErrorKind::QuotaExceeded, "no \xff quota" };
        const WallTime deadline(std::chrono::milliseconds(-5));
        const RecordedOutcome outcome { 201, "text/plain", std::string("a\0b", 3) };
        Heartbeat heartbeat { DaemonId("d1"), FailureDomainId("aalst-hal"), RegionId("vlaanderen"), "127.0.0.1:1",
            "127.0.0.1:2", "127.0.0.1:3", "0.1.0", 7, 8, true, true, { { WorkloadId("trial-planner"), 3 } }, true, 9,
            10, 11, 12, true, true, { FailureDomainId("lokeren") }, "127.0.0.1:4", 13 };
        const TaskRow task { TaskId("j/0"), WorkloadId("w"), WorkerId("k"), 2, "running", "r", { 1, 2, 3 },
            { -4, 5, 6 } };
        const WorkerRow worker { WorkerId("k"), RackId("r"), "live", 4, { 1, 2, 3 }, { 4, 5, 6 }, { 7, 8, 9 } };
        std::vector<Payload> payloads { heartbeat, HeartbeatAck { 1, 2 }, ConfigurationRequest { 3, 4 },
            ConfigurationTransfer { 1, 2, 3, 0, "abc" }, SubmitJob { JobId("j"), WorkloadId("w"), 3, deadline },
            SubmitJobReply { JobId("j"), true, error }, CancelJob { JobId("j") },
            CancelJobReply { JobId("j"), true, {} }, JobStatus { JobId("j") },
            JobStatusReply { JobId("j"), JobState::Failed, WorkloadId("w"), 1, 2, 3, "detail", error },
            ClaimRequest { "key", RecordId("c"), deadline, 6 },
            ClaimReply { RecordId("c"), ClaimVerdict::Recorded, outcome, {} },
            ClaimOutcome { "key", RecordId("c"), outcome, true, true },
            TasksQuery { TaskId("j/0"), 5, WorkloadId("w") }, TasksReply { { task, task }, true, error },
            WorkersQuery { WorkerId("k"), 5 }, WorkersReply { { worker }, true, error }, MinionsQuery { 7 },
            MinionsReply { 8, true, { { MinionId("w/0"), WorkloadId("w"), "127.0.0.1:5", 8, 64 } }, error },
            ExplainQuery { TaskId("j/0") },
            ExplainReply { TaskId("j/0"), "waiting", WorkerId("k"), "quota", "detail", "release", error } };
        std::vector<Envelope> envelopes;
        envelopes.reserve(payloads.size());
        for (Payload& payload : payloads)
            envelopes.push_back(envelopeOf(std::move(payload)));
        return envelopes;
    }

    wire::Envelope wireEnvelope()
    {
        wire::Envelope message;
        message.set_protocol_version(protocolVersion);
        message.set_sender("d1");
        return message;
    }

} // namespace

class MessageCodecTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MessageCodecTest);
    CPPUNIT_TEST(everyFieldSurvivesTheTrip);
    CPPUNIT_TEST(truncatedAndDamagedMessagesAreRefused);
    CPPUNIT_TEST(hostileLengthsAreRefused);
    CPPUNIT_TEST(manySmallElementsAreRefused);
    CPPUNIT_TEST(newerSenderIsUnderstood);
    CPPUNIT_TEST(olderSenderIsUnderstood);
    CPPUNIT_TEST(otherProtocolVersionIsRefused);
    CPPUNIT_TEST(unknownVerdictIsNotReadAsNotRun);
    CPPUNIT_TEST(oversizedMessageIsNotSent);
    CPPUNIT_TEST(fileArrivesInChunks);
    CPPUNIT_TEST(fileThatChangesDuringTheTransferIsNotMixed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that one direction of the conversion forgets.
    void everyFieldSurvivesTheTrip()
    {
        const std::vector<Envelope> messages = everyMessage();
        CPPUNIT_ASSERT_EQUAL(messageKindCount, messages.size());
        for (std::size_t i = 0; i < messages.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(i, messages[i].m_payload.index());
            const auto decoded = decodeText(valueOf(MessageCodec::encode(messages[i])));
            CPPUNIT_ASSERT(std::holds_alternative<Envelope>(decoded));
            CPPUNIT_ASSERT(std::get<Envelope>(decoded) == messages[i]);
        }
    }

    // Guards against reads past the end and against a partial message that is taken for a whole one. A cut between two
    // fields leaves a valid protobuf message; the payload is last, so its loss is an unknown payload.
    void truncatedAndDamagedMessagesAreRefused()
    {
        std::mt19937 random(20261204);
        for (const Envelope& message : everyMessage()) {
            const std::string bytes = valueOf(MessageCodec::encode(message));
            for (std::size_t length = 0; length < bytes.size(); ++length)
                CPPUNIT_ASSERT(std::holds_alternative<DecodeError>(decodeText(bytes.substr(0, length))));
            for (int i = 0; i < 500; ++i) {
                std::string damaged = bytes;
                damaged[random() % damaged.size()] = static_cast<char>(random());
                damaged[random() % damaged.size()] = static_cast<char>(random());
                (void)decodeText(damaged);
            }
        }
    }

    // Guards against an allocation of a length that a message only announces.
    void hostileLengthsAreRefused()
    {
        CPPUNIT_ASSERT(refusalOf(std::string(maxMessageBytes + 1, '\0')) == DecodeError::TooLarge);
        // Field 2 (sender) and field 21 (a payload) with a length of 2^31 - 1, 2^32 - 1 and 2^64 - 1.
        for (const std::string& tag : { std::string("\x12"), std::string("\xaa\x01") }) {
            for (const std::string& length : { std::string("\xff\xff\xff\xff\x07"), std::string("\xff\xff\xff\xff\x0f"),
                     std::string("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01") })
                CPPUNIT_ASSERT(refusalOf(tag + length + "d1") == DecodeError::Malformed);
        }
        wire::Envelope longName = wireEnvelope();
        longName.mutable_cancel_job()->set_job(std::string(5000, 'x'));
        CPPUNIT_ASSERT(refusalOf(longName.SerializeAsString()) == DecodeError::InvalidField);
    }

    // Guards against a message of two-byte rows that decoding would expand more than fiftyfold.
    void manySmallElementsAreRefused()
    {
        wire::Envelope message = wireEnvelope();
        for (std::size_t i = 0; i < 300000; ++i)
            message.mutable_tasks_reply()->add_rows();
        CPPUNIT_ASSERT(message.ByteSizeLong() < maxMessageBytes);
        CPPUNIT_ASSERT(refusalOf(message.SerializeAsString()) == DecodeError::TooManyElements);

        wire::Envelope rows = wireEnvelope();
        for (std::size_t i = 0; i <= maxRows; ++i)
            rows.mutable_tasks_reply()->add_rows();
        CPPUNIT_ASSERT(refusalOf(rows.SerializeAsString()) == DecodeError::InvalidField);
    }

    // Guards against a rolling upgrade in which old daemons refuse the messages of new ones.
    void newerSenderIsUnderstood()
    {
        const Envelope known = envelopeOf(CancelJob { JobId("j") });
        std::string bytes = valueOf(MessageCodec::encode(known));
        // A new envelope field 15 (varint) and a new field 14 of every wire type inside a second part of the payload.
        bytes += std::string("\x78\x07", 2);
        const std::string newer = std::string("\x70\x05", 2) + std::string("\x72\x02hi", 4)
            + std::string("\x71\1\2\3\4\5\6\7\x08", 9) + std::string("\x75\1\2\3\4", 5);
        bytes += std::string("\xb2\x01", 2) + static_cast<char>(newer.size()) + newer;
        const auto decoded = decodeText(bytes);
        CPPUNIT_ASSERT(std::holds_alternative<Envelope>(decoded));
        CPPUNIT_ASSERT(std::get<Envelope>(decoded) == known);

        // A payload that only the newer version knows.
        const std::string unknown = wireEnvelope().SerializeAsString() + std::string("\x82\x05\x02\x08\x01", 5);
        CPPUNIT_ASSERT(refusalOf(unknown) == DecodeError::UnknownPayload);

        // An error kind that only the newer version knows does not promise that the work has not run.
        wire::Envelope error = wireEnvelope();
        error.mutable_submit_job_reply()->mutable_error()->set_kind("invented-later");
        const auto reply = std::get<Envelope>(decodeText(error.SerializeAsString()));
        CPPUNIT_ASSERT(answerFor(std::get<SubmitJobReply>(reply.m_payload)
                                     .m_error.value_or(Error { ErrorKind::InvalidRequest, {} })
                                     .m_kind)
                           .m_runState
            == RunState::MayHaveRun);
    }

    // Guards against a rolling upgrade in which new daemons refuse the messages of old ones.
    void olderSenderIsUnderstood()
    {
        wire::Envelope older = wireEnvelope();
        older.mutable_heartbeat()->set_daemon("d1");
        const auto decoded = decodeText(older.SerializeAsString());
        CPPUNIT_ASSERT(std::holds_alternative<Envelope>(decoded));
        Heartbeat expected;
        expected.m_daemon = DaemonId("d1");
        CPPUNIT_ASSERT(std::get<Envelope>(decoded).m_payload == Payload(expected));
    }

    // Guards against a message whose fields have another meaning, and a message that nobody signed.
    void otherProtocolVersionIsRefused()
    {
        wire::Envelope message = wireEnvelope();
        message.mutable_heartbeat_ack();
        message.set_protocol_version(protocolVersion + 1);
        CPPUNIT_ASSERT(refusalOf(message.SerializeAsString()) == DecodeError::WrongProtocolVersion);
        message.set_protocol_version(protocolVersion);
        message.clear_sender();
        CPPUNIT_ASSERT(refusalOf(message.SerializeAsString()) == DecodeError::InvalidField);
    }

    // Guards against a non-repeatable request that is reported as not run because a reply could not be understood.
    void unknownVerdictIsNotReadAsNotRun()
    {
        wire::Envelope message = wireEnvelope();
        message.mutable_claim_reply()->set_verdict(200);
        CPPUNIT_ASSERT(refusalOf(message.SerializeAsString()) == DecodeError::InvalidField);
        message.mutable_claim_reply()->set_verdict(static_cast<std::uint32_t>(ClaimVerdict::Recorded));
        CPPUNIT_ASSERT(refusalOf(message.SerializeAsString()) == DecodeError::InvalidField);
    }

    // Guards against a message that every receiver would refuse.
    void oversizedMessageIsNotSent()
    {
        const auto result = MessageCodec::encode(
            envelopeOf(ClaimOutcome { "key", RecordId("c"), { 200, "", std::string(maxMessageBytes, 'x') } }));
        CPPUNIT_ASSERT(!succeeded(result));
        CPPUNIT_ASSERT(errorOf(result).m_kind == ErrorKind::BodyTooLarge);
    }

    // Guards against a file that is cut, repeated or larger than one message.
    void fileArrivesInChunks()
    {
        for (const std::size_t size : { std::size_t { 0 }, maxChunkBytes, 3 * maxChunkBytes + 1 }) {
            std::string content(size, 'x');
            for (std::size_t i = 0; i < size; i += 1000)
                content[i] = static_cast<char>('a' + i / 1000 % 26);
            ConfigurationAssembly assembly;
            auto progress = ConfigurationAssembly::Progress::Continue;
            std::size_t requests = 0;
            while (progress == ConfigurationAssembly::Progress::Continue) {
                const ConfigurationTransfer chunk = chunkFor(assembly.next(), 4, 11, content);
                CPPUNIT_ASSERT(succeeded(MessageCodec::encode(envelopeOf(chunk))));
                progress = assembly.take(chunk);
                ++requests;
            }
            CPPUNIT_ASSERT(progress == ConfigurationAssembly::Progress::Complete);
            CPPUNIT_ASSERT(assembly.content() == content && assembly.version() == 4 && assembly.hash() == 11);
            CPPUNIT_ASSERT_EQUAL(std::max<std::size_t>(1, (size + maxChunkBytes - 1) / maxChunkBytes), requests);
        }
    }

    // Guards against a file that is composed of two versions, and a peer that announces a length without end.
    void fileThatChangesDuringTheTransferIsNotMixed()
    {
        using Progress = ConfigurationAssembly::Progress;
        const std::string content(maxChunkBytes + 10, 'x');
        ConfigurationAssembly assembly;
        const ConfigurationTransfer first = chunkFor(assembly.next(), 4, 11, content);
        CPPUNIT_ASSERT(assembly.take(first) == Progress::Continue);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 4 }, assembly.next().m_version);
        CPPUNIT_ASSERT(assembly.take(chunkFor(assembly.next(), 5, 12, content)) == Progress::Restarted);
        CPPUNIT_ASSERT(assembly.next() == ConfigurationRequest {});

        CPPUNIT_ASSERT(assembly.take(first) == Progress::Continue);
        CPPUNIT_ASSERT(assembly.take(first) == Progress::Restarted);
        CPPUNIT_ASSERT(assembly.take({ 4, 11, maxTransferBytes + 1, 0, "x" }) == Progress::Restarted);
        CPPUNIT_ASSERT(assembly.take({ 4, 11, 2, 0, "xxx" }) == Progress::Restarted);
        CPPUNIT_ASSERT(assembly.take({ 4, 11, 2, 0, "" }) == Progress::Restarted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageCodecTest);

} // namespace sapphiredale::peer
