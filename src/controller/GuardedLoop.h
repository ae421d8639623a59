// Runs an event loop in which an exception ends one handler and not the process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <exception>

namespace sapphiredale::controller {

/// Runs the loop until it is stopped or has no work. `unexpected` receives the text of each exception that left a
/// handler; the other handlers run on.
template <typename Function> void runGuarded(boost::asio::io_context& context, Function unexpected)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::exception& error) {
            unexpected(error.what());
        }
    }
}

} // namespace sapphiredale::controller
