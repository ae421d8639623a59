// Appends, reads and listings of the store.

#include "Store.h"

#include <boost/json.hpp>
#include <chrono>

namespace review {

namespace json = boost::json;

namespace {

    std::string number(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
            text += static_cast<char>((value >> shift) & 0xff);
        return text;
    }

    std::uint64_t numberAt(const std::string& text, std::size_t at, int bytes)
    {
        std::uint64_t value = 0;
        for (int i = 0; i < bytes; ++i)
            value = (value << 8) | static_cast<unsigned char>(text[at + static_cast<std::size_t>(i)]);
        return value;
    }

    std::string base64(const std::string& bytes)
    {
        static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = (group << 8) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                text += i + j <= bytes.size() ? letters[(group >> (18 - 6 * j)) & 63] : '=';
        }
        return text;
    }

    Response answer(int status, const json::object& body) { return { status, json::serialize(body) }; }

} // namespace

Store::Part& Store::part(const std::string& topic, const std::string& number)
{
    auto& entry = m_parts[{ topic, number }];
    if (!entry)
        entry = std::make_unique<Part>();
    return *entry;
}

void Store::add(Part& part, const std::string& topic, const std::string& record)
{
    const std::uint64_t offset = part.end();
    part.m_records.push_back(record);
    part.m_bytes += record.size();
    // The oldest records expire when a partition holds more than its limit.
    while (part.m_bytes > m_settings.m_partBytes) {
        part.m_bytes -= part.m_records.front().size();
        part.m_records.pop_front();
        ++part.m_first;
    }
    if (topic.rfind("keyed.", 0) != 0 || record.empty())
        return;
    const std::size_t length = static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(1, length);
    if (record.size() == 1 + length)
        part.m_newest.erase(key);
    else
        part.m_newest[key] = { offset, record.substr(1 + length) };
}

void Store::put(const std::string& topic, const std::string& key, const std::optional<std::string>& value)
{
    {
        const std::lock_guard lock(m_mutex);
        add(part(topic, "0"), topic, number(key.size(), 1) + key + value.value_or(""));
    }
    m_changed.notify_all();
}

Response Store::handle(const Request& request, int daemon)
{
    if (m_isBusy) {
        sleepFor(m_settings.m_answer);
        return { 503 };
    }
    if (request.path() == "/-/log-append")
        return append(request, daemon);
    if (request.path() == "/-/log-read")
        return read(request);
    if (request.path() == "/-/log-newest")
        return newest(request);
    return { 404 };
}

Response Store::append(const Request& request, int daemon)
{
    sleepFor(m_settings.m_answer / 2);
    const std::string topic = request.query("topic");
    if (topic == "keyed.op" || topic == "keyed.servers")
        return { 403 };
    std::vector<std::string> records;
    const std::string& body = request.m_body;
    bool isValid = body.size() <= m_settings.m_callBytes;
    for (std::size_t at = 0; isValid && at < body.size();) {
        const std::size_t length = at + 4 <= body.size() ? numberAt(body, at, 4) : body.size();
        if (length > m_settings.m_recordBytes && at + 4 + length <= body.size()) {
            ++m_oversized;
            note("store   rejects an append to " + topic + ": a record has " + std::to_string(length)
                + " bytes, the limit is " + std::to_string(m_settings.m_recordBytes));
        }
        isValid = at + 4 + length <= body.size() && length <= m_settings.m_recordBytes;
        if (isValid)
            records.push_back(body.substr(at + 4, length));
        at += 4 + length;
    }
    if (!isValid)
        return { 400 };
    std::unique_lock lock(m_mutex);
    Part& target = part(topic, request.query("part"));
    lock.unlock();
    // A partition processes its appends one at a time.
    const std::lock_guard appending(target.m_appending);
    sleepFor(m_settings.m_append + static_cast<double>(body.size()) / m_settings.m_partBytesPerSecond);
    lock.lock();
    const std::uint64_t end = target.end();
    const std::string condition = request.query("as_of");
    if (!condition.empty() && std::stoull(condition) != end)
        return answer(412, { { "end", end } });
    const std::string name = request.query("producer");
    Producer* producer = nullptr;
    std::uint64_t sequence = 0;
    if (!name.empty()) {
        const std::uint64_t epoch = std::stoull(request.query("epoch"));
        sequence = std::stoull(request.query("sequence"));
        const bool isNew = !target.m_producers.contains(name);
        producer = &target.m_producers[name];
        if (!isNew && epoch < producer->m_epoch)
            return answer(409, { { "reason", "fenced" } });
        if (isNew || epoch > producer->m_epoch) {
            producer->m_answers.clear();
        } else {
            for (const auto& [known, first] : producer->m_answers) {
                if (known == sequence)
                    return first;
            }
            if (sequence != producer->m_sequence + 1)
                return answer(409, { { "reason", "seq" }, { "sequence", producer->m_sequence + 1 } });
        }
        producer->m_epoch = epoch;
        producer->m_sequence = sequence;
    }
    for (const std::string& record : records)
        add(target, topic, record);
    const Response done = answer(200, { { "offset", end }, { "end", target.end() } });
    if (producer != nullptr) {
        producer->m_answers.emplace_back(sequence, done);
        if (producer->m_answers.size() > 5)
            producer->m_answers.pop_front();
    }
    if (!condition.empty())
        m_lastWriter = daemon;
    lock.unlock();
    m_changed.notify_all();
    sleepFor(m_settings.m_answer / 2);
    return done;
}

Response Store::read(const Request& request)
{
    const std::string wait = request.query("wait_ms");
    const std::string limit = request.query("max_kb");
    const std::uint64_t from = std::stoull(request.query("from"));
    const std::size_t most = (limit.empty() ? 1024 : std::stoul(limit)) * 1024;
    std::string bytes;
    {
        std::unique_lock lock(m_mutex);
        Part& source = part(request.query("topic"), request.query("part"));
        m_changed.wait_for(
            lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait)), [&] { return source.end() > from; });
        if (from < source.m_first)
            return answer(410, { { "first", source.m_first } });
        bytes = number(source.end(), 8) + number(source.m_first, 8);
        for (std::uint64_t at = from; at < source.end() && bytes.size() < most; ++at) {
            const std::string& record = source.m_records[at - source.m_first];
            bytes += number(record.size(), 4) + record;
        }
    }
    sleepFor(m_settings.m_answer);
    return { 200, bytes, "application/octet-stream" };
}

Response Store::newest(const Request& request)
{
    json::array items;
    bool hasMore = false;
    std::uint64_t end = 0;
    {
        const std::lock_guard lock(m_mutex);
        Part& source = part(request.query("topic"), request.query("part"));
        end = source.end();
        std::size_t bytes = 0;
        for (auto it = source.m_newest.upper_bound(request.query("depends_on")); it != source.m_newest.end(); ++it) {
            hasMore = items.size() == 500 || bytes > 1000000;
            if (hasMore)
                break;
            bytes += it->second.second.size();
            items.push_back(json::object {
                { "key", it->first }, { "value", base64(it->second.second) }, { "offset", it->second.first } });
        }
    }
    sleepFor(m_settings.m_answer);
    return answer(200, { { "items", std::move(items) }, { "more", hasMore }, { "end", end } });
}

} // namespace review
