// Helpers for tests that run a real event loop.
#pragma once

#include "controller/Clock.h"
#include "controller/HttpListener.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::controller {

/// Runs the loop until the condition holds; fails after 60 s, which only a hang reaches.
template <typename Condition> void runUntil(boost::asio::io_context& context, Condition condition)
{
    const TimePoint limit = bootNow() + std::chrono::seconds(60);
    while (!condition() && bootNow() < limit)
        context.run_one_for(std::chrono::milliseconds(2));
    CPPUNIT_ASSERT(condition());
}

/// Opens a listener on a free port of the loopback address and returns the address.
inline std::string openOnFreePort(HttpListener& listener)
{
    for (int port = 23000; port < 25000; ++port) {
        std::string address = "127.0.0.1:" + std::to_string(port);
        if (succeeded(listener.open(address)))
            return address;
    }
    CPPUNIT_FAIL("no free port");
    return {};
}

} // namespace sapphiredale::controller
