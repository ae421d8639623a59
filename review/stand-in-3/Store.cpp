// Calls of the store, as PROTOCOL.md tells them.

#include "Store.h"

#include <boost/json.hpp>

namespace review {

namespace json = boost::json;

namespace {

    constexpr std::int64_t answerMs = 4;

    std::string bigEndian(std::uint64_t number, int bytes)
    {
        std::string text;
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
            text += static_cast<char>((number >> shift) & 0xff);
        return text;
    }

    std::uint32_t lengthAt(const std::string& bytes, std::size_t at)
    {
        std::uint32_t number = 0;
        for (std::size_t i = 0; i < 4; ++i)
            number = (number << 8) | static_cast<unsigned char>(bytes[at + i]);
        return number;
    }

    Store::Record recordOf(const std::string& content)
    {
        Store::Record record;
        record.m_bytes = bigEndian(content.size(), 4) + content;
        const std::size_t keyBytes = content.empty() ? 0 : static_cast<unsigned char>(content[0]);
        record.m_key = content.substr(1, keyBytes);
        if (content.size() > 1 + keyBytes)
            record.m_value = content.substr(1 + keyBytes);
        return record;
    }

    std::string base64(const std::string& bytes)
    {
        static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = (group << 8) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
            for (std::size_t j = 0; j < 4; ++j)
                text += i + j <= bytes.size() ? digits[(group >> (18 - 6 * j)) & 63] : '=';
        }
        return text;
    }

    std::uint64_t numberOf(const Request& request, const std::string& name, std::uint64_t fallback = 0)
    {
        const auto found = request.m_query.find(name);
        return found == request.m_query.end() || found->second.empty() ? fallback : std::stoull(found->second);
    }

    std::string offsetAnswer(std::uint64_t offset, std::uint64_t end)
    {
        return json::serialize(json::object { { "offset", offset }, { "end", end } });
    }

} // namespace

void Store::setFaults(FaultOf faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = std::move(faults);
}

std::string Store::open(const std::string& ip)
{
    const int listener = static_cast<int>(m_servers.size());
    m_servers.push_back(std::make_unique<Server>(
        ip, freePort(ip), [this, listener](const Request& request) { return handle(listener, request); }));
    m_servers.back()->start();
    return m_servers.back()->address();
}

void Store::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    m_changed.notify_all();
    for (const auto& server : m_servers)
        server->stop();
}

void Store::put(const std::string& topic, const std::string& key, const std::optional<std::string>& value)
{
    {
        const std::lock_guard lock(m_mutex);
        m_parts[{ topic, 0 }].m_records.push_back(
            recordOf(bigEndian(key.size(), 1) + key + value.value_or(std::string())));
    }
    m_changed.notify_all();
}

std::map<std::string, std::string> Store::newest(const std::string& topic, unsigned number)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::string> values;
    for (const Record& record : m_parts[{ topic, number }].m_records) {
        if (record.m_value)
            values[record.m_key] = *record.m_value;
        else
            values.erase(record.m_key);
    }
    return values;
}

Store::Part& Store::part(const Request& request)
{
    return m_parts[{ request.m_query.at("topic"), static_cast<unsigned>(numberOf(request, "part")) }];
}

Response Store::handle(int listener, const Request& request)
{
    FaultOf faults;
    {
        const std::lock_guard lock(m_mutex);
        faults = m_faults;
    }
    sleepMs(answerMs);
    const Fault fault = faults ? faults(listener, request) : Fault::None;
    if (fault == Fault::Refuse)
        return { 503, "{}" };
    if (fault == Fault::Silent) {
        sleepMs(10000);
        return { 503, "{}", {}, true };
    }
    Response response { 404, "{}" };
    if (request.m_path == "/-/log-append")
        response = append(request);
    else if (request.m_path == "/-/log-read")
        response = read(request);
    else if (request.m_path == "/-/log-newest")
        response = newestPage(request);
    if (fault == Fault::LoseAnswer) {
        sleepMs(10000);
        response.m_isDropped = true;
    }
    return response;
}

Response Store::append(const Request& request)
{
    const std::unique_lock lock(m_mutex);
    const std::string& topic = request.m_query.at("topic");
    if (topic == "keyed.op" || topic == "keyed.servers")
        return { 403, "{}" };
    Part& target = part(request);
    const auto end = [&target] { return static_cast<std::uint64_t>(target.m_records.size()); };
    if (request.m_query.contains("as_of") && numberOf(request, "as_of") != end())
        return { 412, json::serialize(json::object { { "end", end() } }) };
    Writer* writer = nullptr;
    const std::uint64_t sequence = numberOf(request, "sequence");
    if (const auto producer = request.m_query.find("producer"); producer != request.m_query.end()) {
        writer = &target.m_writers[producer->second];
        const std::uint64_t epoch = numberOf(request, "epoch");
        if (epoch < writer->m_epoch)
            return { 409, R"({"reason":"fenced"})" };
        if (epoch > writer->m_epoch) {
            writer->m_epoch = epoch;
            writer->m_sequence.reset();
            writer->m_answers.clear();
        }
        if (request.m_body.empty())
            return { 200, offsetAnswer(end(), end()) };
        for (const auto& [earlier, answer] : writer->m_answers) {
            if (earlier == sequence)
                return { 200, answer };
        }
        if (writer->m_sequence && sequence != *writer->m_sequence + 1)
            return { 409,
                json::serialize(json::object { { "reason", "seq" }, { "sequence", *writer->m_sequence + 1 } }) };
    }
    const std::uint64_t offset = end();
    for (std::size_t at = 0; at + 4 <= request.m_body.size();) {
        const std::uint32_t length = lengthAt(request.m_body, at);
        target.m_records.push_back(recordOf(request.m_body.substr(at + 4, length)));
        at += 4 + length;
    }
    const std::string answer = offsetAnswer(offset, end());
    if (writer != nullptr) {
        constexpr std::size_t keptAnswers = 5;
        writer->m_sequence = sequence;
        writer->m_answers.emplace_back(sequence, answer);
        if (writer->m_answers.size() > keptAnswers)
            writer->m_answers.pop_front();
    }
    m_changed.notify_all();
    return { 200, answer };
}

Response Store::read(const Request& request)
{
    std::unique_lock lock(m_mutex);
    const std::uint64_t from = numberOf(request, "from");
    const std::uint64_t maxBytes = numberOf(request, "max_kb", 1024) * 1024;
    Part& source = part(request);
    m_changed.wait_for(lock, std::chrono::milliseconds(numberOf(request, "wait_ms")),
        [&] { return m_isStopped || source.m_records.size() > from; });
    std::string body = bigEndian(source.m_records.size(), 8) + bigEndian(0, 8);
    for (std::uint64_t at = from; at < source.m_records.size(); ++at) {
        if (at > from && body.size() + source.m_records[at].m_bytes.size() > maxBytes)
            break;
        body += source.m_records[at].m_bytes;
    }
    return { 200, body };
}

Response Store::newestPage(const Request& request)
{
    const std::lock_guard lock(m_mutex);
    const Part& source = part(request);
    std::map<std::string, std::size_t> newest;
    for (std::size_t at = 0; at < source.m_records.size(); ++at) {
        if (source.m_records[at].m_value)
            newest[source.m_records[at].m_key] = at;
        else
            newest.erase(source.m_records[at].m_key);
    }
    constexpr std::size_t maxItems = 500;
    json::array items;
    bool hasMore = false;
    const auto after = request.m_query.find("depends_on");
    auto at = after == request.m_query.end() ? newest.begin() : newest.upper_bound(after->second);
    for (; at != newest.end(); ++at) {
        if (items.size() == maxItems) {
            hasMore = true;
            break;
        }
        items.push_back(json::object { { "key", at->first }, { "value", base64(*source.m_records[at->second].m_value) },
            { "offset", at->second } });
    }
    return { 200,
        json::serialize(
            json::object { { "items", std::move(items) }, { "more", hasMore }, { "end", source.m_records.size() } }) };
}

} // namespace review
