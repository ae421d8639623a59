// Fuzz target for requests of callers: fields, chunk extensions, trailers. Build and run it with scripts/fuzz-inputs.

#include "controller/HttpListener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <cstdlib>

using namespace sapphiredale;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t maxHeaderBytes = 512;
constexpr std::size_t maxBodyBytes = 1024;
constexpr std::size_t budgetBytes = std::size_t { 64 } << 10;

void require(bool condition)
{
    if (!condition)
        std::abort();
}

/// One listener for all inputs; each input is a connection.
struct Server {
    Server()
        : m_budget(std::make_shared<controller::ConnectionBudget>(budgetBytes))
        , m_listener(
              m_context, "X-Deadline",
              [](const controller::ServerRequest& request, const controller::Responder& respond) {
                  require(request.m_body.size() <= maxBodyBytes);
                  require(
                      request.m_target.size() + request.m_host.size() + request.m_deadline.size() <= maxHeaderBytes);
                  respond({});
              },
              m_budget)
    {
        controller::ListenerLimits limits;
        limits.m_maxHeaderBytes = maxHeaderBytes;
        limits.m_maxBodyBytes = maxBodyBytes;
        m_listener.setLimits(limits);
        for (m_port = 25000; m_port < 26000; ++m_port) {
            if (succeeded(m_listener.open("127.0.0.1:" + std::to_string(m_port))))
                return;
        }
        std::abort();
    }

    boost::asio::io_context m_context;
    std::shared_ptr<controller::ConnectionBudget> m_budget;
    controller::HttpListener m_listener;
    std::uint16_t m_port = 0;
};

} // namespace

// The name is given by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    static Server server;
    boost::system::error_code error;
    {
        tcp::socket client(server.m_context);
        client.connect({ boost::asio::ip::make_address("127.0.0.1"), server.m_port }, error);
        require(!error);
        boost::asio::write(client, boost::asio::buffer(data, size), error);
        client.shutdown(tcp::socket::shutdown_send, error);
        do
            server.m_context.run_one();
        while (server.m_listener.connections() > 0);
    }
    require(server.m_budget->usedBytes() == 0);
    return 0;
}
