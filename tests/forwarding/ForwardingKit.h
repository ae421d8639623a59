// What the tests of the data path share: a server with one service, and a blocking caller.
#pragma once

#include "forwarding/RequestServer.h"
#include "forwarding/ServiceShard.h"
#include "tests/forwarding/FakeMinion.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphiredale::forwarding {

/// Hooks with one service "desk" and claims in memory.
class TestHooks : public RequestHooks {
public:
    explicit TestHooks(const routing::RouterSettings& settings = {})
        : m_shard(std::make_shared<ServiceShard>(settings))
    {
    }

    std::shared_ptr<ServiceRouting> service(const WorkloadId& name) override
    {
        return name.value() == "desk" ? m_shard : nullptr;
    }

    void claim(const ClaimRequest& request, const ClaimHandler& handler) override
    {
        ClaimAnswer answer;
        {
            const std::lock_guard lock(m_mutex);
            const auto outcome = m_outcomes.find(request.m_key);
            if (outcome != m_outcomes.end() && outcome->second.m_complete) {
                answer.m_kind = ClaimAnswer::Kind::Replay;
                answer.m_status = outcome->second.m_status;
                answer.m_body = outcome->second.m_body;
            } else if (m_claimed.insert({ request.m_key, request.m_fingerprint }).second) {
                answer.m_kind = ClaimAnswer::Kind::Won;
                answer.m_claim = RecordId("claim-" + request.m_key);
            } else {
                answer.m_error = { ErrorKind::IdempotencyMayHaveRun, "claimed before" };
            }
        }
        handler(std::move(answer));
    }

    void recordOutcome(const ClaimOutcome& outcome) override
    {
        const std::lock_guard lock(m_mutex);
        if (outcome.m_notRun)
            m_claimed.erase(outcome.m_key);
        else
            m_outcomes[outcome.m_key] = outcome;
    }

    void tick() override
    {
        m_shard->withRouter([](routing::Router& router, TimePoint now) { router.tick(now); });
    }

    void refused(ErrorKind kind) override { ++m_refused[static_cast<std::size_t>(kind)]; }
    unsigned refusals(ErrorKind kind) const { return m_refused[static_cast<std::size_t>(kind)]; }

    void hold(const std::string& minion, const std::string& address, std::uint32_t slots)
    {
        m_shard->withRouter([&](routing::Router& router, TimePoint now) {
            routing::HeldMinion lease;
            lease.m_minion = MinionId(minion);
            lease.m_address = address;
            lease.m_epoch = 7;
            lease.m_leaseDeadline = now + std::chrono::hours(1);
            lease.m_slots = slots;
            lease.m_connections = 64;
            router.setMinion(lease, now);
        });
    }

    std::uint32_t freeSlots()
    {
        return m_shard->withRouter(
            [](routing::Router& router, TimePoint now) { return router.report(now).m_freeSlots; });
    }

    std::size_t queued()
    {
        return m_shard->withRouter([](routing::Router& router, TimePoint) { return router.queued(); });
    }

    std::uint32_t outstanding()
    {
        return m_shard->withRouter([](routing::Router& router, TimePoint) {
            std::uint32_t sum = 0;
            for (std::uint32_t i = 0; i < router.minions().size(); ++i)
                sum += router.minions().at(i).m_outstanding;
            return sum;
        });
    }

    void peer(const std::string& daemon, const std::string& address, std::uint32_t freeSlots)
    {
        m_shard->withRouter([&](routing::Router& router, TimePoint now) {
            router.setPeers({ { DaemonId(daemon), FailureDomainId(), address } }, now);
            router.peerReport(DaemonId(daemon), { freeSlots, freeSlots, 0 }, now);
        });
    }

    void handle(const LocalRequest& request, const LocalHandler& handler) override
    {
        if (request.m_target != "/v1/jobs")
            return RequestHooks::handle(request, handler);
        LocalResponse response;
        response.m_body = request.m_method + " " + request.m_target + " " + request.m_body;
        handler(std::move(response));
    }

    std::shared_ptr<ServiceShard> m_shard;

private:
    std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_claimed;
    std::map<std::string, ClaimOutcome> m_outcomes;
    std::array<std::atomic<unsigned>, errorKindCount> m_refused {};
};

/// A blocking connection of a caller.
class Caller {
public:
    explicit Caller(std::uint16_t port)
        : m_socket(m_context)
    {
        m_socket.connect({ boost::asio::ip::address_v4::loopback(), port });
    }

    void send(const std::string& text) { boost::asio::write(m_socket, boost::asio::buffer(text)); }

    void sendRequest(const std::string& method, const std::string& target, const std::string& body = "",
        const std::string& fields = "")
    {
        send(method + " " + target + " HTTP/1.1\r\nHost: test\r\n" + fields
            + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body);
    }

    /// Reads one answer; error says whether it was complete.
    TextResponse read(boost::system::error_code& error)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        http::read(m_socket, m_buffer, parser, error);
        return parser.release();
    }

    TextResponse read()
    {
        boost::system::error_code error;
        TextResponse response = read(error);
        CPPUNIT_ASSERT_EQUAL(std::string(), error ? error.message() : std::string());
        return response;
    }

    TextResponse exchange(const std::string& method, const std::string& target, const std::string& body = "",
        const std::string& fields = "")
    {
        sendRequest(method, target, body, fields);
        return read();
    }

    void close() { m_socket.close(); }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

/// Waits until a condition holds. The limit only ends a test that would hang; it is no statement about speed.
template <typename F> bool eventually(F condition)
{
    for (int i = 0; i < 6000; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

} // namespace sapphiredale::forwarding
