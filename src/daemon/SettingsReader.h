// Reader of settings files: collects all faults of a JSON document with comments, each with its place.
#pragma once

#include "daemon/Settings.h"

#include <algorithm>
#include <boost/json.hpp>
#include <concepts>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale::daemon {

namespace json = boost::json;

/// Reads the members of one JSON object and collects the faults.
class SectionReader {
public:
    SectionReader(const json::object& object, std::string path, std::vector<SettingsFault>& faults)
        : m_object(object)
        , m_path(std::move(path))
        , m_faults(faults)
    {
    }

    /// Reports the members that no call has named.
    void finish()
    {
        for (const auto& member : m_object) {
            if (std::find(m_known.begin(), m_known.end(), member.key()) == m_known.end())
                fault(member.key(), "unknown member; known here: " + knownMembers());
        }
    }

    template <typename T> void required(std::string_view name, T& value)
    {
        if (const json::value* member = find(name))
            read(name, *member, value);
        else
            fault(name, "is missing");
    }

    template <typename T> void optional(std::string_view name, T& value)
    {
        if (const json::value* member = find(name))
            read(name, *member, value);
    }

    /// Reads a number that must lie within the given bounds.
    template <std::unsigned_integral T> void bounded(std::string_view name, T& value, T least, T greatest)
    {
        const json::value* member = find(name);
        if (!member)
            return;
        std::uint64_t number = 0;
        if (!readUnsigned(*member, number) || number < least || number > greatest)
            fault(name, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(greatest));
        else
            value = static_cast<T>(number);
    }

    /// Reads a nested object with the given function.
    template <typename Function> void section(std::string_view name, bool isRequired, Function function)
    {
        const json::value* member = find(name);
        if (!member) {
            if (isRequired)
                fault(name, "is missing");
            return;
        }
        if (!member->is_object()) {
            fault(name, "must be an object");
            return;
        }
        SectionReader reader(member->get_object(), pathOf(name), m_faults);
        function(reader);
        reader.finish();
    }

    /// Reads an optional array of objects; the function reads one of them into a new element.
    template <typename T, typename Function>
    void sections(std::string_view name, std::vector<T>& values, Function function)
    {
        const json::value* member = find(name);
        if (!member)
            return;
        if (!member->is_array()) {
            fault(name, "must be an array");
            return;
        }
        const json::array& array = member->get_array();
        for (std::size_t i = 0; i < array.size(); ++i) {
            const std::string element = std::string(name) + "/" + std::to_string(i);
            if (!array[i].is_object()) {
                fault(element, "must be an object");
                continue;
            }
            SectionReader reader(array[i].get_object(), pathOf(element), m_faults);
            function(reader, values.emplace_back());
            reader.finish();
        }
    }

    void fault(std::string_view name, std::string problem) { m_faults.push_back({ pathOf(name), std::move(problem) }); }

private:
    const json::value* find(std::string_view name)
    {
        m_known.emplace_back(name);
        return m_object.if_contains(name);
    }

    std::string pathOf(std::string_view name) const { return m_path + "/" + std::string(name); }

    std::string knownMembers() const
    {
        std::string text;
        for (const std::string& name : m_known)
            text += (text.empty() ? "" : ", ") + name;
        return text;
    }

    static bool readUnsigned(const json::value& value, std::uint64_t& number)
    {
        if (value.is_uint64())
            number = value.get_uint64();
        else if (value.is_int64() && value.get_int64() >= 0)
            number = static_cast<std::uint64_t>(value.get_int64());
        else
            return false;
        return true;
    }

    void read(std::string_view name, const json::value& member, std::string& value)
    {
        if (member.is_string())
            value = member.get_string();
        else
            fault(name, "must be a string");
    }

    template <typename Tag> void read(std::string_view name, const json::value& member, Identifier<Tag>& value)
    {
        if (member.is_string() && !member.get_string().empty())
            value = Identifier<Tag>(std::string(member.get_string()));
        else
            fault(name, "must be a non-empty string");
    }

    void read(std::string_view name, const json::value& member, double& value)
    {
        if (member.is_number())
            value = member.to_number<double>();
        else
            fault(name, "must be a number");
    }

    void read(std::string_view name, const json::value& member, bool& value)
    {
        if (member.is_bool())
            value = member.get_bool();
        else
            fault(name, "must be true or false");
    }

    void read(std::string_view name, const json::value& member, Endpoint& value)
    {
        if (!member.is_string() || !parseEndpoint(member.get_string(), value))
            fault(name, "must be \"address:port\" with a numeric IP address");
    }

    const json::object& m_object;
    std::string m_path;
    std::vector<SettingsFault>& m_faults;
    std::vector<std::string> m_known;
};

/// Reads a document whose root is an object; the function reads the members of the root. Returns all faults.
std::vector<SettingsFault> readDocument(std::string_view text, const std::function<void(SectionReader&)>&);

} // namespace sapphiredale::daemon
