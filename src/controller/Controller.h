// A daemon on the users' platform: connects the election, the scheduler's term, the callers' interface and the inner
// listener, and shuts them down in order. Everything runs on one thread.
#pragma once

#include "controller/ElectionDriver.h"
#include "controller/Gateway.h"
#include "controller/HttpListener.h"
#include "controller/SchedulerTerm.h"
#include "controller/SiteSettings.h"
#include "observability/EventLog.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace sapphiredale::controller {

/// Owns all components of the daemon and its event loop.
class Controller {
public:
    /// `readSettings` reads the settings file again when a reload is requested.
    Controller(SiteSettings, std::uint64_t seed, std::unique_ptr<observability::EventLog>,
        std::function<SiteSettingsResult()> readSettings);
    ~Controller();
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    /// Opens the listeners; fails with Internal and the reason when one cannot be opened.
    Result<Unit> start();
    /// Runs the event loop until a planned stop is complete.
    void run();

private:
    class ConfigurationObserver;
    class ConnectionReporter;

    /// Gives up the term, if there is one, after an exception left a handler.
    void handleUnexpectedError(const char* error);
    void awaitSignal();
    void reload();
    void onElectionChanged();
    void tick();
    void sendHello();
    void answerReadiness(const ServerRequest&, const Responder&);
    void handleInnerRequest(const ServerRequest&, Responder);
    void handleAdviceRequest(const ServerRequest&, Responder);
    void handleOperatorRequest(const ServerRequest&, const Responder&);
    SchedulerLocation scheduler() const;
    bool isReady() const;
    void beginStop();
    void advanceStop();

    const SiteSettings m_settings;
    const std::function<SiteSettingsResult()> m_readSettings;
    std::unique_ptr<observability::EventLog> m_log;
    observability::MetricsRegistry m_metrics;
    /// Without locks: one thread runs it, and no other one uses it.
    boost::asio::io_context m_context { BOOST_ASIO_CONCURRENCY_HINT_UNSAFE };
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_stopTimer;
    std::unique_ptr<userplatform::AdviceConnection> m_adviser;
    /// Number of questions that this daemon has sent to the adviser for other daemons.
    std::uint32_t m_adviceCalls = 0;
    AdviceDispatcher m_adviceDispatcher;
    ElectionDriver m_election;
    std::unique_ptr<SchedulerTerm> m_term;
    Gateway m_gateway;
    std::unique_ptr<ConfigurationObserver> m_configurationObserver;
    TopicFollower m_configuration;
    /// Shared by the listeners.
    std::shared_ptr<ConnectionBudget> m_connectionBudget;
    std::unique_ptr<ConnectionReporter> m_connectionReporter;
    HttpListener m_callers;
    HttpListener m_readiness;
    HttpListener m_inner;
    HttpListener m_operators;
    std::string m_helloAddress;
    std::shared_ptr<platform::HttpChannel> m_helloChannel;
    TimePoint m_nextHelloAt {};
    /// Whether the scheduler answered the last hello.
    bool m_isHelloAnswered = true;
    /// Readiness that was logged last.
    bool m_wasReady = false;
    bool m_isStopping = false;
    TimePoint m_stopStartedAt {};
};

} // namespace sapphiredale::controller
