// State that all sessions of a RequestServer share.
#pragma once

#include "forwarding/RequestServer.h"
#include "forwarding/UpstreamPool.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace sapphiredale::forwarding {

/// Shared by the sessions of all threads.
struct ServerContext {
    ServerContext(const RequestServerSettings& settings, RequestHooks& hooks, std::string identifierPrefix)
        : m_settings(settings)
        , m_hooks(hooks)
        , m_identifierPrefix(std::move(identifierPrefix))
        , m_pool(settings.m_threads, settings.m_idleTimeout)
    {
    }

    RequestServerSettings m_settings;
    RequestHooks& m_hooks;
    /// First part of request identifiers, unique to this run of this daemon.
    std::string m_identifierPrefix;
    UpstreamPool m_pool;
    std::atomic<std::uint64_t> m_nextRequest { 1 };
    std::atomic<bool> m_draining { false };

    std::atomic<std::uint64_t> m_accepted { 0 };
    std::atomic<std::uint64_t> m_openConnections { 0 };
    std::atomic<std::uint64_t> m_activeRequests { 0 };
    std::atomic<std::uint64_t> m_requests { 0 };
    std::atomic<std::uint64_t> m_callerGone { 0 };
    std::atomic<std::uint64_t> m_callerTimeouts { 0 };
    std::atomic<std::uint64_t> m_memoryEnds { 0 };
    std::atomic<std::uint64_t> m_headerEnds { 0 };
    std::atomic<std::uint64_t> m_crossedAnswers { 0 };
    std::atomic<std::uint64_t> m_truncatedAnswers { 0 };
    std::atomic<std::uint64_t> m_upstreamConnects { 0 };
};

} // namespace sapphiredale::forwarding
