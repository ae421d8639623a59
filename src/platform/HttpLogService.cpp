// Calls of the log client.

#include "platform/HttpLogService.h"

#include "platform/JsonCodec.h"

#include <map>
#include <mutex>

namespace sapphiredale::platform {

/// The channels; those for reads are made when a stream is first read.
class HttpLogService::Impl {
public:
    Impl(boost::asio::io_context& context, HttpSettings settings)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_appends(makeChannel())
    {
    }

    HttpChannel& appends() { return *m_appends; }

    /// The channel for reads of a stream that wait or do not.
    std::shared_ptr<HttpChannel> reads(const std::string& stream, bool waits)
    {
        const std::lock_guard lock(m_mutex);
        auto& channel = m_reads[{ stream, waits }];
        if (!channel)
            channel = makeChannel();
        return channel;
    }

private:
    std::shared_ptr<HttpChannel> makeChannel()
    {
        return std::make_shared<HttpChannel>(m_context, m_settings, ClientKind::Log, ErrorKind::LogUnavailable);
    }

    boost::asio::io_context& m_context;
    const HttpSettings m_settings;
    const std::shared_ptr<HttpChannel> m_appends;
    std::mutex m_mutex;
    std::map<std::pair<std::string, bool>, std::shared_ptr<HttpChannel>> m_reads;
};

HttpLogService::HttpLogService(boost::asio::io_context& context, HttpSettings settings)
    : m_impl(std::make_unique<Impl>(context, std::move(settings)))
{
}

HttpLogService::~HttpLogService() = default;

void HttpLogService::append(const std::string& stream, const std::vector<std::string>& records, Duration timeout,
    Handler<std::uint64_t> handler)
{
    // An append is not repeatable: a second one would write the records twice.
    HttpCall call { "POST", "/v1/streams/" + stream + "/records", encodeRecords(records), timeout, false };
    m_impl->appends().send(std::move(call), [handler = std::move(handler)](const Result<HttpAnswer>& answer) {
        handler(succeeded(answer) ? decodeAppended(valueOf(answer), ErrorKind::LogUnavailable) : errorOf(answer));
    });
}

void HttpLogService::read(const std::string& stream, std::uint64_t from, std::uint32_t maxBytes, Duration wait,
    Duration timeout, Handler<LogPage> handler)
{
    const bool waits = wait > Duration::zero();
    std::string target
        = "/v1/streams/" + stream + "/records?from=" + std::to_string(from) + "&maxBytes=" + std::to_string(maxBytes);
    if (waits)
        target += "&waitMs=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
    m_impl->reads(stream, waits)
        ->send({ "GET", std::move(target), "", timeout, true },
            [handler = std::move(handler)](const Result<HttpAnswer>& answer) {
                handler(succeeded(answer) ? decodePage(valueOf(answer), ErrorKind::LogUnavailable) : errorOf(answer));
            });
}

} // namespace sapphiredale::platform
