// Tests of the transport over loopback. Waits have a limit that only a hang reaches; no test depends on how long it
// takes.

#include "peer/PeerTransport.h"

#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>
#include <numeric>
#include <set>
#include <thread>

namespace sapphiredale::peer {

namespace {

    /// Collects received envelopes.
    class Inbox {
    public:
        PeerTransport::Receiver receiver()
        {
            return [this](Envelope&& envelope) {
                const std::lock_guard lock(m_mutex);
                m_envelopes.push_back(std::move(envelope));
                m_changed.notify_all();
            };
        }

        /// Waits until count envelopes have arrived and returns all of them.
        std::vector<Envelope> waitFor(std::size_t count)
        {
            std::unique_lock lock(m_mutex);
            const bool arrived
                = m_changed.wait_for(lock, std::chrono::seconds(60), [&] { return m_envelopes.size() >= count; });
            CPPUNIT_ASSERT_MESSAGE("messages did not arrive", arrived);
            return m_envelopes;
        }

        std::size_t size()
        {
            const std::lock_guard lock(m_mutex);
            return m_envelopes.size();
        }

    private:
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::vector<Envelope> m_envelopes;
    };

    PeerTransportSettings settingsOf(const char* daemon, std::uint64_t incarnation = 1)
    {
        PeerTransportSettings settings;
        settings.m_daemon = DaemonId(daemon);
        settings.m_incarnation = incarnation;
        settings.m_listenAddress = "127.0.0.1:0";
        settings.m_minReconnectWait = std::chrono::milliseconds(10);
        settings.m_maxReconnectWait = std::chrono::milliseconds(50);
        return settings;
    }

    std::unique_ptr<PeerTransport> openTransport(const PeerTransportSettings& settings, Inbox& inbox)
    {
        auto result = PeerTransport::open(settings, inbox.receiver());
        CPPUNIT_ASSERT(succeeded(result));
        return std::move(valueOf(std::move(result)));
    }

    template <typename Condition> void waitUntil(Condition condition)
    {
        for (int i = 0; i < 60000 && !condition(); ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT_MESSAGE("the condition did not become true", condition());
    }

    /// Sends heartbeats until one arrives, since a message may be lost around a reconnection.
    void sendUntilReceived(PeerTransport& from, const DaemonId& to, Inbox& inbox)
    {
        const std::size_t before = inbox.size();
        waitUntil([&] {
            (void)from.send(to, HeartbeatAck {});
            return inbox.size() > before;
        });
    }

    /// A sender that is no PeerTransport: bytes of any content.
    class RawSender {
    public:
        explicit RawSender(const std::string& address)
        {
            nng_push0_open(&m_socket);
            nng_dial(m_socket, ("tcp://" + address).c_str(), nullptr, 0);
        }
        ~RawSender() { nng_close(m_socket); }
        RawSender(const RawSender&) = delete;
        RawSender& operator=(const RawSender&) = delete;

        void send(std::string bytes) { nng_send(m_socket, bytes.data(), bytes.size(), 0); }

    private:
        nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    };

} // namespace

class PeerTransportTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerTransportTest);
    CPPUNIT_TEST(messagesOfSeveralThreadsArriveOnce);
    CPPUNIT_TEST(replyCarriesTheCorrelationOfTheCall);
    CPPUNIT_TEST(fullQueueDropsAndCounts);
    CPPUNIT_TEST(oldMessagesDoNotReachAReturningPeer);
    CPPUNIT_TEST(peerRestartOnTheSameAddressIsReached);
    CPPUNIT_TEST(reconnectAndChangedAddressReachThePeer);
    CPPUNIT_TEST(strangersAndForeignBytesAreRefusedAndCounted);
    CPPUNIT_TEST(introductionIsDeliveredWhenAccepted);
    CPPUNIT_TEST(closeWhileOthersSendIsClean);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost, repeated or mixed messages when the daemon's threads send at the same time, and against data
    // races (this test runs under the thread sanitizer).
    void messagesOfSeveralThreadsArriveOnce()
    {
        Inbox inboxA;
        Inbox inboxB;
        PeerTransportSettings settings = settingsOf("a");
        settings.m_maxQueuedMessages = 1000;
        const auto a = openTransport(settings, inboxA);
        settings.m_daemon = DaemonId("b");
        const auto b = openTransport(settings, inboxB);
        CPPUNIT_ASSERT(succeeded(a->addPeer({ DaemonId("b"), b->listenAddress() })));
        CPPUNIT_ASSERT(succeeded(b->addPeer({ DaemonId("a"), a->listenAddress() })));
        constexpr std::size_t perThread = 50;
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (std::uint64_t t = 0; t < 4; ++t) {
            threads.emplace_back([&, t] {
                for (std::uint64_t i = 0; i < perThread; ++i)
                    (void)(t % 2 ? a : b)->send(DaemonId(t % 2 ? "b" : "a"), HeartbeatAck { t, i });
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        for (Inbox* inbox : { &inboxA, &inboxB }) {
            std::vector<std::uint64_t> numbers;
            std::set<std::pair<std::uint64_t, std::uint64_t>> contents;
            for (const Envelope& envelope : inbox->waitFor(2 * perThread)) {
                numbers.push_back(envelope.m_sequence);
                const auto& ack = std::get<HeartbeatAck>(envelope.m_payload);
                contents.emplace(ack.m_configurationVersion, ack.m_configurationHash);
            }
            std::sort(numbers.begin(), numbers.end());
            std::vector<std::uint64_t> expected(2 * perThread);
            std::iota(expected.begin(), expected.end(), 1);
            CPPUNIT_ASSERT(numbers == expected);
            CPPUNIT_ASSERT_EQUAL(2 * perThread, contents.size());
        }
        constexpr auto kind = static_cast<std::size_t>(MessageKind::HeartbeatAck);
        waitUntil([&] { return a->statistics().m_messagesSent[kind] == 2 * perThread; });
        CPPUNIT_ASSERT_EQUAL(a->statistics().m_bytesSent[kind], b->statistics().m_bytesReceived[kind]);
    }

    // Guards against a reply that cannot be matched with its call.
    void replyCarriesTheCorrelationOfTheCall()
    {
        Inbox inboxA;
        Inbox inboxB;
        const auto a = openTransport(settingsOf("a", 11), inboxA);
        const auto b = openTransport(settingsOf("b", 22), inboxB);
        CPPUNIT_ASSERT(succeeded(a->addPeer({ DaemonId("b"), b->listenAddress() })));
        CPPUNIT_ASSERT(succeeded(b->addPeer({ DaemonId("a"), a->listenAddress() })));
        CPPUNIT_ASSERT(succeeded(a->send(DaemonId("b"), CancelJob { JobId("j") }, 42)));
        CPPUNIT_ASSERT(succeeded(b->reply(inboxB.waitFor(1)[0], CancelJobReply { JobId("j"), true, {} })));
        const Envelope reply = inboxA.waitFor(1)[0];
        CPPUNIT_ASSERT(
            reply.m_correlation == 42 && reply.m_replyToIncarnation == 11 && reply.m_senderIncarnation == 22);
    }

    // Guards against a daemon that blocks or grows without bound because one peer does not read.
    void fullQueueDropsAndCounts()
    {
        Inbox inbox;
        PeerTransportSettings settings = settingsOf("a");
        settings.m_maxQueuedMessages = 3;
        settings.m_maxQueueTime = std::chrono::hours(1);
        const auto a = openTransport(settings, inbox);
        // Port 1 of the loopback interface has no listener; one message is handed to nng and three wait.
        CPPUNIT_ASSERT(succeeded(a->addPeer({ DaemonId("b"), "127.0.0.1:1" })));
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(succeeded(a->send(DaemonId("b"), HeartbeatAck {})));
        const auto refused = a->send(DaemonId("b"), HeartbeatAck {});
        CPPUNIT_ASSERT(!succeeded(refused) && errorOf(refused).m_kind == ErrorKind::QueueFull);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, a->statistics().m_droppedQueueFull);

        settings.m_maxQueuedMessages = 1000;
        settings.m_maxQueuedBytes = 3 * maxChunkBytes;
        const auto c = openTransport(settings, inbox);
        CPPUNIT_ASSERT(succeeded(c->addPeer({ DaemonId("b"), "127.0.0.1:1" })));
        const ConfigurationTransfer chunk { 1, 2, 3, 0, std::string(maxChunkBytes, 'x') };
        CPPUNIT_ASSERT(succeeded(c->send(DaemonId("b"), chunk)) && succeeded(c->send(DaemonId("b"), chunk)));
        CPPUNIT_ASSERT(!succeeded(c->send(DaemonId("b"), chunk)));
        c->close();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, c->statistics().m_droppedClosed);
    }

    // Guards against calls and heartbeats of a past partition that are executed when it heals.
    void oldMessagesDoNotReachAReturningPeer()
    {
        Inbox inboxA;
        Inbox inboxB;
        const auto placeholder = openTransport(settingsOf("b"), inboxB);
        const std::string address = placeholder->listenAddress();
        placeholder->close();
        PeerTransportSettings settings = settingsOf("a");
        settings.m_maxQueueTime = std::chrono::milliseconds(20);
        const auto a = openTransport(settings, inboxA);
        CPPUNIT_ASSERT(succeeded(a->addPeer({ DaemonId("b"), address })));
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(succeeded(a->send(DaemonId("b"), CancelJob { JobId("old") })));
        waitUntil([&] { return a->statistics().m_droppedExpired == 5; });
        PeerTransportSettings returned = settingsOf("b", 2);
        returned.m_listenAddress = address;
        const auto b = openTransport(returned, inboxB);
        CPPUNIT_ASSERT(succeeded(b->addPeer({ DaemonId("a"), a->listenAddress() })));
        sendUntilReceived(*a, DaemonId("b"), inboxB);
        for (const Envelope& envelope : inboxB.waitFor(1))
            CPPUNIT_ASSERT(kindOf(envelope) == MessageKind::HeartbeatAck);
    }

    // Guards against a transport that stays disconnected after a peer was replaced at its address.
    void peerRestartOnTheSameAddressIsReached()
    {
        Inbox inboxA;
        Inbox inboxB;
        const auto a = openTransport(settingsOf("a"), inboxA);
        auto b = openTransport(settingsOf("b", 1), inboxB);
        PeerTransportSettings settings = settingsOf("b", 2);
        settings.m_listenAddress = b->listenAddress();
        CPPUNIT_ASSERT(succeeded(b->addPeer({ DaemonId("a"), a->listenAddress() })));
        CPPUNIT_ASSERT(succeeded(a->addPeer({ DaemonId("b"), b->listenAddress() })));
        sendUntilReceived(*a, DaemonId("b"), inboxB);
        b.reset();
        b = openTransport(settings, inboxB);
        CPPUNIT_ASSERT(succeeded(b->addPeer({ DaemonId("a"), a->listenAddress() })));
        sendUntilReceived(*a, DaemonId("b"), inboxB);
        sendUntilReceived(*b, DaemonId("a"), inboxA);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, inboxA.waitFor(1).back().m_senderIncarnation);
    }

    // Guards against a peer that is lost after a forced reconnection or a move to another address, and against sequence
    // numbers that start again within one incarnation.
    void reconnectAndChangedAddressReachThePeer()
    {
        Inbox inboxA;
        Inbox inboxB;
        const auto a = openTransport(settingsOf("a"), inboxA);
        const auto b = openTransport(settingsOf("b"), inboxB);
        CPPUNIT_ASSERT(succeeded(b->addPeer({ DaemonId("a"), a->listenAddress() })));
        CPPUNIT_ASSERT(succeeded(a->addPeer({ DaemonId("b"), "127.0.0.1:1" })));
        CPPUNIT_ASSERT(succeeded(a->addPeer({ DaemonId("b"), b->listenAddress() })));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, a->peers().size());
        sendUntilReceived(*a, DaemonId("b"), inboxB);
        const std::uint64_t before = inboxB.waitFor(1).back().m_sequence;
        a->reconnect(DaemonId("b"));
        sendUntilReceived(*a, DaemonId("b"), inboxB);
        CPPUNIT_ASSERT(inboxB.waitFor(1).back().m_sequence > before);
    }

    // Guards against messages of strangers and of removed peers, and against foreign bytes on the listener.
    void strangersAndForeignBytesAreRefusedAndCounted()
    {
        Inbox inbox;
        const auto a = openTransport(settingsOf("a"), inbox);
        RawSender stranger(a->listenAddress());
        stranger.send("GET / HTTP/1.1");
        stranger.send(valueOf(MessageCodec::encode({ DaemonId("x"), 1, 1, 0, 0, Heartbeat {} })));
        waitUntil([&] { return a->statistics().m_unknownSender == 1; });
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t { 1 }, a->statistics().m_refused[static_cast<std::size_t>(DecodeError::Malformed)]);
        // nng closes the connection of a sender whose message is too long; the next message uses a new one.
        RawSender hostile(a->listenAddress());
        hostile.send(std::string(maxMessageBytes + 1, 'x'));
        CPPUNIT_ASSERT(succeeded(a->addPeer({ DaemonId("x"), "127.0.0.1:1" })));
        stranger.send(valueOf(MessageCodec::encode({ DaemonId("x"), 1, 2, 0, 0, Heartbeat {} })));
        inbox.waitFor(1);
        a->removePeer(DaemonId("x"));
        stranger.send(valueOf(MessageCodec::encode({ DaemonId("x"), 1, 3, 0, 0, Heartbeat {} })));
        waitUntil([&] { return a->statistics().m_unknownSender == 2; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, inbox.size());
        CPPUNIT_ASSERT(errorOf(a->send(DaemonId("x"), HeartbeatAck {})).m_kind == ErrorKind::DomainUnreachable);
    }

    // Guards against a new daemon that can never join, and against other messages before it has joined.
    void introductionIsDeliveredWhenAccepted()
    {
        Inbox inbox;
        PeerTransportSettings settings = settingsOf("a");
        settings.m_acceptIntroductions = true;
        const auto a = openTransport(settings, inbox);
        RawSender newcomer(a->listenAddress());
        newcomer.send(valueOf(MessageCodec::encode({ DaemonId("x"), 1, 1, 0, 0, CancelJob { JobId("j") } })));
        newcomer.send(valueOf(MessageCodec::encode({ DaemonId("x"), 1, 2, 0, 0, Heartbeat {} })));
        CPPUNIT_ASSERT(kindOf(inbox.waitFor(1)[0]) == MessageKind::Heartbeat);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, a->statistics().m_unknownSender);
    }

    // Guards against a callback that runs after the shutdown and against a deadlock of the shutdown with senders.
    void closeWhileOthersSendIsClean()
    {
        Inbox inboxA;
        Inbox inboxB;
        const auto a = openTransport(settingsOf("a"), inboxA);
        const auto b = openTransport(settingsOf("b"), inboxB);
        CPPUNIT_ASSERT(succeeded(a->addPeer({ DaemonId("b"), b->listenAddress() })));
        CPPUNIT_ASSERT(succeeded(b->addPeer({ DaemonId("a"), a->listenAddress() })));
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int t = 0; t < 2; ++t) {
            threads.emplace_back([&] {
                for (int i = 0; i < 2000; ++i) {
                    (void)a->send(DaemonId("b"), HeartbeatAck {});
                    (void)b->send(DaemonId("a"), HeartbeatAck {});
                }
            });
        }
        inboxB.waitFor(1);
        b->close();
        const std::size_t received = inboxB.size();
        a->close();
        for (std::thread& thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(received, inboxB.size());
        CPPUNIT_ASSERT(errorOf(a->addPeer({ DaemonId("c"), "127.0.0.1:1" })).m_kind == ErrorKind::ShuttingDown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);

} // namespace sapphiredale::peer
