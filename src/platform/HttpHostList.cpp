// Calls of the host list client.

#include "platform/HttpHostList.h"

#include "platform/JsonCodec.h"

#include <mutex>

namespace sapphiredale::platform {

/// The newest list.
struct HttpHostList::Cache {
    std::mutex m_mutex;
    /// Guarded by m_mutex.
    HostSnapshot m_snapshot;

    /// The whole list after an answer; an answer without changes only advances the time of the list.
    HostSnapshot update(HostSnapshot answer)
    {
        const std::lock_guard lock(m_mutex);
        if (answer.m_unchanged && answer.m_generation == m_snapshot.m_generation)
            m_snapshot.m_asOf = answer.m_asOf;
        else if (!answer.m_unchanged)
            m_snapshot = std::move(answer);
        return m_snapshot;
    }

    std::uint64_t generation()
    {
        const std::lock_guard lock(m_mutex);
        return m_snapshot.m_generation;
    }
};

HttpHostList::HttpHostList(boost::asio::io_context& context, const HttpSettings& settings)
    : m_channel(std::make_shared<HttpChannel>(context, settings, ClientKind::HostList, ErrorKind::DomainUnreachable))
    , m_cache(std::make_shared<Cache>())
{
}

HttpHostList::~HttpHostList() = default;

void HttpHostList::hosts(Duration timeout, Handler<HostSnapshot> handler)
{
    const std::string target = "/v1/hosts?since=" + std::to_string(m_cache->generation());
    m_channel->send({ "GET", target, "", timeout, true },
        [cache = m_cache, handler = std::move(handler)](const Result<HttpAnswer>& answer) {
            Result<HostSnapshot> decoded
                = succeeded(answer) ? decodeHosts(valueOf(answer), ErrorKind::DomainUnreachable) : errorOf(answer);
            if (succeeded(decoded))
                decoded = cache->update(valueOf(std::move(decoded)));
            handler(std::move(decoded));
        });
}

} // namespace sapphiredale::platform
