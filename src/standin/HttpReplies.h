// Replies with JSON bodies; included by .cpp files only.
#pragma once

#include "standin/HttpServer.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string_view>

namespace sapphiredale::standin {

inline HttpReply jsonReply(const boost::json::object& body, unsigned status = 200)
{
    HttpReply reply;
    reply.m_status = status;
    reply.m_body = boost::json::serialize(body);
    return reply;
}

/// {"error": detail}
inline HttpReply errorReply(unsigned status, std::string_view detail)
{
    return jsonReply({ { "error", detail } }, status);
}

} // namespace sapphiredale::standin
