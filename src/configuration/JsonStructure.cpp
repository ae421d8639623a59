// Event handler of the JSON parser that keeps only the keys of the open objects.

#include "configuration/JsonStructure.h"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <set>
#include <string>
#include <vector>

namespace sapphiredale::configuration {

namespace {

    namespace json = boost::json;

    class StructureHandler {
    public:
        // The names of these constants are given by the JSON library. The size of the whole text is bounded by the
        // caller. NOLINTBEGIN(readability-identifier-naming)
        static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
        static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
        static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
        static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

        StructureHandler(std::size_t maxValues, FileErrorList& errors)
            : m_maxValues(maxValues)
            , m_errors(errors)
        {
        }

        bool on_document_begin(json::error_code&) { return true; }
        bool on_document_end(json::error_code&) { return true; }
        bool on_object_begin(json::error_code& error) { return open(false, error); }
        bool on_object_end(std::size_t, json::error_code&) { return close(); }
        bool on_array_begin(json::error_code& error) { return open(true, error); }
        bool on_array_end(std::size_t, json::error_code&) { return close(); }
        bool on_key_part(json::string_view part, std::size_t, json::error_code&)
        {
            m_key.append(part.data(), part.size());
            return true;
        }
        bool on_key(json::string_view part, std::size_t, json::error_code&)
        {
            m_key.append(part.data(), part.size());
            Frame& frame = m_frames.back();
            frame.m_member = m_key;
            if (!frame.m_keys.insert(std::move(m_key)).second)
                m_errors.add(path(), "the member is given twice", "each member at most once");
            m_key.clear();
            return true;
        }
        bool on_string_part(json::string_view, std::size_t, json::error_code&) { return true; }
        bool on_string(json::string_view, std::size_t, json::error_code& error) { return value(error); }
        bool on_number_part(json::string_view, json::error_code&) { return true; }
        bool on_int64(std::int64_t, json::string_view, json::error_code& error) { return value(error); }
        bool on_uint64(std::uint64_t, json::string_view, json::error_code& error) { return value(error); }
        bool on_double(double, json::string_view, json::error_code& error) { return value(error); }
        bool on_bool(bool, json::error_code& error) { return value(error); }
        bool on_null(json::error_code& error) { return value(error); }
        bool on_comment_part(json::string_view, json::error_code&) { return true; }
        bool on_comment(json::string_view, json::error_code&) { return true; }
        // NOLINTEND(readability-identifier-naming)

        bool hasTooManyValues() const { return m_values > m_maxValues; }

    private:
        struct Frame {
            bool m_isArray = false;
            std::size_t m_index = 0;
            std::string m_member;
            std::set<std::string> m_keys;
        };

        bool open(bool isArray, json::error_code& error)
        {
            m_frames.push_back({ isArray, 0, {}, {} });
            return value(error, true);
        }

        bool close()
        {
            m_frames.pop_back();
            advance();
            return true;
        }

        bool value(json::error_code& error, bool opened = false)
        {
            if (++m_values > m_maxValues) {
                error = json::error::array_too_large;
                return false;
            }
            if (!opened)
                advance();
            return true;
        }

        void advance()
        {
            if (!m_frames.empty() && m_frames.back().m_isArray)
                ++m_frames.back().m_index;
        }

        std::string path() const
        {
            std::string text;
            for (const Frame& frame : m_frames) {
                if (frame.m_isArray)
                    text += '[' + std::to_string(frame.m_index) + ']';
                else
                    text += (text.empty() ? "" : ".") + frame.m_member;
            }
            return text;
        }

        std::size_t m_maxValues;
        FileErrorList& m_errors;
        std::size_t m_values = 0;
        std::string m_key;
        std::vector<Frame> m_frames;
    };

    std::string placeOf(std::string_view text, std::size_t offset)
    {
        const std::string_view before = text.substr(0, std::min(offset, text.size()));
        const auto line = 1 + std::count(before.begin(), before.end(), '\n');
        const std::size_t lineStart = before.rfind('\n') + 1;
        return "line " + std::to_string(line) + ", column " + std::to_string(before.size() - lineStart + 1);
    }

} // namespace

bool checkJsonStructure(std::string_view text, std::size_t maxDepth, std::size_t maxValues, FileErrorList& errors)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    options.max_depth = maxDepth;
    json::basic_parser<StructureHandler> parser(options, maxValues, errors);

    json::error_code error;
    const std::size_t consumed = parser.write_some(false, text.data(), text.size(), error);
    if (!error && consumed < text.size())
        error = json::error::extra_data;
    if (!error)
        return true;

    if (error == json::error::too_deep) {
        errors.add("", "the nesting is too deep at " + placeOf(text, consumed),
            "at most " + std::to_string(maxDepth) + " levels of objects and arrays");
    } else if (parser.handler().hasTooManyValues()) {
        errors.add("", "the text has too many values", "at most " + std::to_string(maxValues) + " values");
    } else {
        errors.add("", "invalid JSON at " + placeOf(text, consumed) + ": " + error.message(),
            "JSON, with // and /* */ comments and trailing commas");
    }
    return false;
}

} // namespace sapphiredale::configuration
