// Stand-in for the platform's metadata store on a loopback port: keyed topics with partitions, conditional appends,
// long-polling reads and paged listings. Partitions can refuse calls, leave them unanswered, or lose answers.
#pragma once

#include "platform/Store.h"
#include "tests/controller/EventLoop.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <list>
#include <map>
#include <optional>
#include <set>

namespace sapphiredale::controller {

class StoreStandIn {
public:
    enum class Fault : std::uint8_t { None, Refuses, RefusesAppends, IsSilent, LosesAnswers };
    using Value = std::optional<std::string>;

    struct Record {
        std::string m_key;
        Value m_value;
    };

    struct Part {
        std::vector<Record> m_records;
        /// Highest epoch of each writer, and the last sequence number of that epoch.
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> m_writers;
        Fault m_fault = Fault::None;
        std::uint32_t m_calls = 0;
        /// Longer answers to reads get lost, as when they take longer than the reader waits.
        std::size_t m_mostBytes = std::string::npos;
        /// The next read finds that its records were deleted.
        bool m_isTrimmed = false;
        /// Wait that the last read asked for.
        std::uint64_t m_waitMs = 0;
    };

    StoreStandIn(boost::asio::io_context& context, std::size_t pageSize = 500)
        : m_context(context)
        , m_pageSize(pageSize)
        , m_listener(
              context, "", [this](const ServerRequest& request, const Responder& respond) { handle(request, respond); })
        , m_address(openOnFreePort(m_listener))
    {
    }

    /// Appends with a longer record, counted with its key, are rejected.
    std::size_t m_maxRecordBytes = 262144;

    const std::string& address() const { return m_address; }
    Part& part(const std::string& topic, std::uint32_t number = 0) { return m_parts[{ topic, number }]; }

    /// The newest value of each key that has one.
    std::map<std::string, std::string> newest(const std::string& topic, std::uint32_t number = 0)
    {
        std::map<std::string, std::string> values;
        for (const Record& record : part(topic, number).m_records) {
            if (record.m_value)
                values[record.m_key] = *record.m_value;
            else
                values.erase(record.m_key);
        }
        return values;
    }

    /// Appends a record as another writer.
    void put(const std::string& topic, std::uint32_t number, const std::string& key, Value value)
    {
        part(topic, number).m_records.push_back({ key, std::move(value) });
        wake();
    }

private:
    using Place = std::pair<std::string, std::uint32_t>;

    struct Waiting {
        Place m_place;
        std::size_t m_from = 0;
        std::size_t m_maxBytes = 0;
        Responder m_respond;
        std::unique_ptr<boost::asio::steady_timer> m_timer;
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const std::string::size_type query = target.find('?');
        for (std::string::size_type at = query; at != std::string::npos; at = target.find('&', at + 1)) {
            if (target.compare(at + 1, name.size() + 1, name + '=') == 0) {
                const std::string::size_type begin = at + name.size() + 2;
                return target.substr(begin, target.find('&', begin) - begin);
            }
        }
        return {};
    }

    static std::uint64_t number(const std::string& text) { return text.empty() ? 0 : std::stoull(text); }

    static void appendNumber(std::string& bytes, std::uint64_t value, int size)
    {
        for (int shift = (size - 1) * 8; shift >= 0; shift -= 8)
            bytes += static_cast<char>((value >> shift) & 0xff);
    }

    static std::vector<Record> decode(std::string_view bytes)
    {
        std::vector<Record> records;
        while (bytes.size() > 4) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i)
                length = (length << 8) | static_cast<unsigned char>(bytes[i]);
            const std::string_view record = bytes.substr(4, length);
            const std::size_t keyLength = static_cast<unsigned char>(record.front());
            Record& decoded = records.emplace_back();
            decoded.m_key = record.substr(1, keyLength);
            if (record.size() > 1 + keyLength)
                decoded.m_value = record.substr(1 + keyLength);
            bytes.remove_prefix(4 + length);
        }
        return records;
    }

    void handle(const ServerRequest& request, const Responder& respond)
    {
        const Place place { parameter(request.m_target, "topic"),
            static_cast<std::uint32_t>(number(parameter(request.m_target, "part"))) };
        Part& part = m_parts[place];
        ++part.m_calls;
        const bool isAppend = request.m_method == "POST";
        if (part.m_fault == Fault::Refuses || (part.m_fault == Fault::RefusesAppends && isAppend))
            return respond({ 503, "{}" });
        if (part.m_fault == Fault::IsSilent)
            return m_silenced.push_back(respond);
        if (isAppend) {
            const ServerResponse answer = append(part, request);
            wake();
            return part.m_fault == Fault::LosesAnswers ? m_silenced.push_back(respond) : respond(answer);
        }
        if (request.m_target.find("/-/log-newest") == 0)
            return respond(list(place, parameter(request.m_target, "depends_on")));
        read(place, request, respond);
    }

    ServerResponse append(Part& part, const ServerRequest& request) const
    {
        namespace json = boost::json;
        const std::string asOf = parameter(request.m_target, "as_of");
        if (!asOf.empty() && number(asOf) != part.m_records.size())
            return { 412, json::serialize(json::object { { "end", part.m_records.size() } }) };
        const std::vector<Record> records = decode(request.m_body);
        const auto isTooLong = [this](const Record& record) {
            return 1 + record.m_key.size() + record.m_value.value_or("").size() > m_maxRecordBytes;
        };
        if (std::any_of(records.begin(), records.end(), isTooLong))
            return { 400, "{}" };
        const std::string writer = parameter(request.m_target, "producer");
        if (!writer.empty()) {
            const std::uint64_t epoch = number(parameter(request.m_target, "epoch"));
            const std::uint64_t sequence = number(parameter(request.m_target, "sequence"));
            const auto [known, isNew] = part.m_writers.try_emplace(writer, epoch, 0);
            auto& [lastEpoch, lastSequence] = known->second;
            if (epoch < lastEpoch)
                return { 409, R"({"reason":"fenced"})" };
            const bool isHigher = isNew || epoch > lastEpoch;
            if (!records.empty() && !isHigher && lastSequence != 0 && sequence != lastSequence + 1)
                return { 409, json::serialize(json::object { { "reason", "seq" }, { "sequence", lastSequence + 1 } }) };
            lastSequence = records.empty() ? (isHigher ? 0 : lastSequence) : sequence;
            lastEpoch = epoch;
        }
        const std::size_t offset = part.m_records.size();
        part.m_records.insert(part.m_records.end(), records.begin(), records.end());
        return { 200, json::serialize(json::object { { "offset", offset }, { "end", part.m_records.size() } }) };
    }

    ServerResponse list(const Place& place, const std::string& after)
    {
        namespace json = boost::json;
        namespace base64 = boost::beast::detail::base64;
        const std::map<std::string, std::string> values = newest(place.first, place.second);
        json::array items;
        auto at = after.empty() ? values.begin() : values.upper_bound(after);
        for (; at != values.end() && items.size() < m_pageSize; ++at) {
            std::string text(base64::encoded_size(at->second.size()), '\0');
            text.resize(base64::encode(text.data(), at->second.data(), at->second.size()));
            items.push_back(json::object { { "key", at->first }, { "value", text }, { "offset", 0 } });
        }
        return { 200,
            json::serialize(json::object { { "items", std::move(items) }, { "more", at != values.end() },
                { "end", m_parts[place].m_records.size() } }) };
    }

    ServerResponse recordsFrom(const Place& place, std::size_t from, std::size_t maxBytes)
    {
        const Part& part = m_parts[place];
        std::string bytes;
        appendNumber(bytes, part.m_records.size(), 8);
        appendNumber(bytes, 0, 8);
        for (; from < part.m_records.size() && bytes.size() < maxBytes; ++from) {
            const Record& record = part.m_records[from];
            appendNumber(bytes, 1 + record.m_key.size() + record.m_value.value_or("").size(), 4);
            appendNumber(bytes, record.m_key.size(), 1);
            bytes += record.m_key + record.m_value.value_or("");
        }
        return { 200, bytes, 0, "application/octet-stream" };
    }

    void read(const Place& place, const ServerRequest& request, const Responder& respond)
    {
        const std::size_t from = number(parameter(request.m_target, "from"));
        const std::uint64_t wait = number(parameter(request.m_target, "wait_ms"));
        const std::string limit = parameter(request.m_target, "max_kb");
        const std::size_t maxBytes = (limit.empty() ? 1024 : number(limit)) << 10;
        m_parts[place].m_waitMs = wait;
        if (std::exchange(m_parts[place].m_isTrimmed, false))
            return respond({ 410, R"({"first":0})" });
        if (wait == 0 || from < m_parts[place].m_records.size()) {
            ServerResponse answer = recordsFrom(place, from, maxBytes);
            if (answer.m_body.size() > m_parts[place].m_mostBytes)
                return m_silenced.push_back(respond);
            return respond(std::move(answer));
        }
        const auto waiting = m_waiting.insert(m_waiting.end(),
            { place, from, maxBytes, respond, std::make_unique<boost::asio::steady_timer>(m_context) });
        waiting->m_timer->expires_after(std::chrono::milliseconds(wait));
        waiting->m_timer->async_wait([this, waiting](boost::system::error_code error) {
            if (!error)
                finish(waiting);
        });
    }

    void finish(std::list<Waiting>::iterator waiting)
    {
        const Responder respond = waiting->m_respond;
        ServerResponse answer = recordsFrom(waiting->m_place, waiting->m_from, waiting->m_maxBytes);
        m_waiting.erase(waiting);
        respond(std::move(answer));
    }

    void wake()
    {
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            const auto waiting = it++;
            if (waiting->m_from < m_parts[waiting->m_place].m_records.size()
                && m_parts[waiting->m_place].m_fault == Fault::None)
                finish(waiting);
        }
    }

    boost::asio::io_context& m_context;
    const std::size_t m_pageSize;
    std::map<Place, Part> m_parts;
    std::list<Waiting> m_waiting;
    /// Responders of calls that are never answered; kept so that their connections stay open.
    std::vector<Responder> m_silenced;
    HttpListener m_listener;
    const std::string m_address;
};

} // namespace sapphiredale::controller
