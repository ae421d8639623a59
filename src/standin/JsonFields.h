// Reading of members of JSON objects with defaults; included by .cpp files only.
#pragma once

#include "model/Resources.h"
#include "model/Time.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale::standin {

/// A member has another type than expected or a value out of range; the server answers with 400.
class FieldError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Parses an object; comments and trailing commas are accepted. Throws FieldError.
boost::json::object parseObject(std::string_view text);

/// Each reader returns the default when the member is absent and throws FieldError when it has another type.
std::int64_t integerField(const boost::json::object&, std::string_view name, std::int64_t otherwise);
/// An integer that is not negative.
std::uint64_t countField(const boost::json::object&, std::string_view name, std::uint64_t otherwise);
double numberField(const boost::json::object&, std::string_view name, double otherwise);
bool boolField(const boost::json::object&, std::string_view name, bool otherwise);
std::string stringField(const boost::json::object&, std::string_view name, std::string_view otherwise = {});
std::vector<std::string> stringsField(const boost::json::object&, std::string_view name);
/// A number of milliseconds that is not negative.
Duration millisecondsField(const boost::json::object&, std::string_view name, Duration otherwise);
/// {"cpuMillis","memoryMiB","accelerators"}.
Resources resourcesField(const boost::json::object&, std::string_view name);
/// A nested object, or nullptr when absent or null.
const boost::json::object* objectField(const boost::json::object&, std::string_view name);
/// The objects of an array; empty when absent.
std::vector<const boost::json::object*> objectsField(const boost::json::object&, std::string_view name);

/// Throws FieldError when the object has a member that is not listed, so that a mistyped name is not ignored.
void requireKnown(const boost::json::object&, std::initializer_list<std::string_view> names);

boost::json::object resourcesToJson(const Resources&);

} // namespace sapphiredale::standin
