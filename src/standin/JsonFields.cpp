// Readers of JSON members.

#include "standin/JsonFields.h"

#include <algorithm>
#include <boost/json/parse.hpp>

namespace sapphiredale::standin {

namespace json = boost::json;

namespace {

    [[noreturn]] void fail(std::string_view name, std::string_view expected)
    {
        throw FieldError('"' + std::string(name) + "\" must be " + std::string(expected));
    }

    const json::value* find(const json::object& object, std::string_view name)
    {
        const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
        return value && !value->is_null() ? value : nullptr;
    }

} // namespace

json::object parseObject(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::error_code error;
    json::value value = json::parse(json::string_view(text.data(), text.size()), error, {}, options);
    if (error)
        throw FieldError("the body is not valid JSON: " + error.message());
    if (!value.is_object())
        throw FieldError("the body must be a JSON object");
    return std::move(value.as_object());
}

std::int64_t integerField(const json::object& object, std::string_view name, std::int64_t otherwise)
{
    const json::value* value = find(object, name);
    if (!value)
        return otherwise;
    json::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    if (error)
        fail(name, "an integer");
    return number;
}

std::uint64_t countField(const json::object& object, std::string_view name, std::uint64_t otherwise)
{
    const json::value* value = find(object, name);
    if (!value)
        return otherwise;
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error)
        fail(name, "an integer that is not negative");
    return number;
}

double numberField(const json::object& object, std::string_view name, double otherwise)
{
    const json::value* value = find(object, name);
    if (!value)
        return otherwise;
    json::error_code error;
    const auto number = value->to_number<double>(error);
    if (error)
        fail(name, "a number");
    return number;
}

bool boolField(const json::object& object, std::string_view name, bool otherwise)
{
    const json::value* value = find(object, name);
    if (value && !value->is_bool())
        fail(name, "true or false");
    return value ? value->as_bool() : otherwise;
}

std::string stringField(const json::object& object, std::string_view name, std::string_view otherwise)
{
    const json::value* value = find(object, name);
    if (value && !value->is_string())
        fail(name, "a string");
    return value ? std::string(value->as_string()) : std::string(otherwise);
}

std::vector<std::string> stringsField(const json::object& object, std::string_view name)
{
    std::vector<std::string> strings;
    const json::value* value = find(object, name);
    if (!value)
        return strings;
    if (!value->is_array())
        fail(name, "a list of strings");
    for (const json::value& element : value->as_array()) {
        if (!element.is_string())
            fail(name, "a list of strings");
        strings.emplace_back(element.as_string());
    }
    return strings;
}

Duration millisecondsField(const json::object& object, std::string_view name, Duration otherwise)
{
    // A longer time overflows when it is added to a point in time; a year is beyond every use.
    constexpr std::uint64_t maxMilliseconds = 365ULL * 24 * 3600 * 1000;
    if (!find(object, name))
        return otherwise;
    const std::uint64_t count = countField(object, name, 0);
    if (count > maxMilliseconds)
        fail(name, "at most a year in milliseconds");
    return std::chrono::milliseconds(count);
}

Resources resourcesField(const json::object& object, std::string_view name)
{
    const json::object* fields = objectField(object, name);
    if (!fields)
        return {};
    return { integerField(*fields, "cpuMillis", 0), integerField(*fields, "memoryMiB", 0),
        integerField(*fields, "accelerators", 0) };
}

const json::object* objectField(const json::object& object, std::string_view name)
{
    const json::value* value = find(object, name);
    if (value && !value->is_object())
        fail(name, "an object");
    return value ? &value->as_object() : nullptr;
}

std::vector<const json::object*> objectsField(const json::object& object, std::string_view name)
{
    std::vector<const json::object*> objects;
    const json::value* value = find(object, name);
    if (!value)
        return objects;
    if (!value->is_array())
        fail(name, "a list of objects");
    for (const json::value& element : value->as_array()) {
        if (!element.is_object())
            fail(name, "a list of objects");
        objects.push_back(&element.as_object());
    }
    return objects;
}

void requireKnown(const json::object& object, std::initializer_list<std::string_view> names)
{
    for (const auto& member : object) {
        const std::string_view key(member.key().data(), member.key().size());
        if (std::find(names.begin(), names.end(), key) != names.end())
            continue;
        std::string expected;
        for (const std::string_view name : names)
            expected.append(expected.empty() ? "" : ", ").append(name);
        throw FieldError("unknown member \"" + std::string(key) + "\"; expected: " + expected);
    }
}

json::object resourcesToJson(const Resources& resources)
{
    return { { "cpuMillis", resources.m_cpuMillis }, { "memoryMiB", resources.m_memoryMiB },
        { "accelerators", resources.m_accelerators } };
}

} // namespace sapphiredale::standin
