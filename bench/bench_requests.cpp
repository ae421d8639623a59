// Measures the data path through real sockets on loopback: added latency, cost per request, one slow minion, overload,
// a dead minion and memory per connection; and the choice policies with stale information in a simulation.

#include "bench/BenchReport.h"
#include "bench/RequestLoad.h"

#include <cassert>
#include <fstream>
#include <gflags/gflags.h>
#include <numeric>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

DEFINE_string(only, "", "run only the parts whose name contains this text");
DEFINE_string(json, "", "write the measurements to this file, one JSON record per line");
DEFINE_uint64(seed, 1, "seed of the load and of the service times");

namespace sapphiredale::bench {

namespace {

    BenchMinion::ServiceTime fixed(std::int64_t micros)
    {
        return [micros](Random&) { return Duration(micros); };
    }

    BenchMinion::ServiceTime exponential(double micros)
    {
        return [micros](Random& random) {
            return Duration(static_cast<std::int64_t>(-micros * std::log(1.0 - random.unit())));
        };
    }

    constexpr std::uint32_t slots = 8;

    /// Minions, a server with a choice policy, and callers.
    template <routing::ChoicePolicy Policy> class Scene {
    public:
        Scene(std::vector<BenchMinion::ServiceTime> services, unsigned serverThreads)
            : m_hooks(settings())
            , m_minionLoops(2)
        {
            for (std::size_t i = 0; i < services.size(); ++i) {
                m_minions.push_back(
                    std::make_unique<BenchMinion>(m_minionLoops[i % 2], std::move(services[i]), FLAGS_seed + i));
                m_hooks.hold(*m_minions.back(), slots);
            }
            RequestServerSettings serverSettings;
            serverSettings.m_threads = serverThreads;
            m_server = std::make_unique<RequestServer>(serverSettings, m_hooks);
            if (!succeeded(m_server->start()))
                std::abort();
        }

        ~Scene()
        {
            m_server.reset();
            for (LoopThread& loop : m_minionLoops)
                loop.stop();
        }

        std::string address() const { return "127.0.0.1:" + std::to_string(m_server->callerPort()); }
        std::vector<std::string> minionAddresses() const
        {
            std::vector<std::string> result;
            result.reserve(m_minions.size());
            for (const std::unique_ptr<BenchMinion>& minion : m_minions)
                result.push_back(minion->address());
            return result;
        }
        RequestServer& server() { return *m_server; }
        BenchHooks<Policy>& hooks() { return m_hooks; }
        BenchMinion& minion(std::size_t index) { return *m_minions[index]; }

        /// Stops the minions and returns the CPU time that they used.
        double stopMinions()
        {
            double cpu = 0;
            for (LoopThread& loop : m_minionLoops) {
                loop.stop();
                cpu += loop.cpu();
            }
            return cpu;
        }

    private:
        static routing::RouterSettings settings()
        {
            routing::RouterSettings result;
            result.m_seed = FLAGS_seed;
            return result;
        }

        BenchHooks<Policy> m_hooks;
        std::vector<LoopThread> m_minionLoops;
        std::vector<std::unique_ptr<BenchMinion>> m_minions;
        std::unique_ptr<RequestServer> m_server;
    };

    std::vector<BenchMinion::ServiceTime> repeated(std::size_t count, const BenchMinion::ServiceTime& service)
    {
        return std::vector<BenchMinion::ServiceTime>(count, service);
    }

    /// Latency at half load, direct and through one hop.
    void measureLatency(BenchReport& report)
    {
        constexpr std::int64_t service = 5000;
        LoadSettings load;
        load.m_connections = 640;
        load.m_rate = 0.5 * 4 * slots * 1e6 / service;
        load.m_length = std::chrono::seconds(3);
        Scene<routing::LeastOutstanding> scene(repeated(4, fixed(service)), 2);
        load.m_addresses = scene.minionAddresses();
        LoadResult direct = runLoad(load, FLAGS_seed).first;
        load.m_addresses = { scene.address() };
        LoadResult routed = runLoad(load, FLAGS_seed).first;
        Scene<routing::RoundRobin> plain(repeated(4, fixed(service)), 2);
        load.m_addresses = { plain.address() };
        LoadResult roundRobin = runLoad(load, FLAGS_seed).first;
        const auto added = [&](LoadResult& result, double share) {
            return (result.percentile(share) - direct.percentile(share)) / 1000;
        };
        report.add("latency: direct p50", direct.percentile(0.5) / 1000, "ms");
        report.add("latency: direct p99", direct.percentile(0.99) / 1000, "ms");
        report.add(
            "latency: added p50 at half load", added(routed, 0.5), "ms", Target::atMost(0.3), added(roundRobin, 0.5));
        report.add("latency: added p99 at half load", added(routed, 0.99), "ms", {}, added(roundRobin, 0.99));
        report.add("latency: requests without a 200", static_cast<double>(routed.m_refused + routed.m_errors),
            "requests", Target::atMost(0));
    }

    /// Requests per second and core of the server's threads, with minions that answer at once.
    template <routing::ChoicePolicy Policy> double requestsPerCore(double& perSecond)
    {
        const double before = cpuSeconds(CLOCK_PROCESS_CPUTIME_ID);
        Scene<Policy> scene(repeated(4, fixed(0)), 2);
        LoadSettings load;
        load.m_connections = 32;
        load.m_threads = 3;
        load.m_warmUp = Duration::zero();
        load.m_addresses = { scene.address() };
        const auto [result, callerCpu] = runLoad(load, FLAGS_seed);
        const double minionCpu = scene.stopMinions();
        const double serverCpu = cpuSeconds(CLOCK_PROCESS_CPUTIME_ID) - before - callerCpu - minionCpu;
        perSecond = static_cast<double>(result.m_answered) / result.m_seconds;
        return static_cast<double>(result.m_answered) / serverCpu;
    }

    void measureThroughput(BenchReport& report)
    {
        double perSecond = 0;
        double baselinePerSecond = 0;
        const double perCore = requestsPerCore<routing::LeastOutstanding>(perSecond);
        const double baseline = requestsPerCore<routing::RoundRobin>(baselinePerSecond);
        report.add("throughput: requests per second and core", perCore, "1/s", {}, baseline);
        report.add("throughput: requests per second, 2 threads", perSecond, "1/s", {}, baselinePerSecond);
    }

    template <routing::ChoicePolicy Policy> double tailWith(std::int64_t slowFactor)
    {
        constexpr std::int64_t service = 10000;
        std::vector<BenchMinion::ServiceTime> services = repeated(10, fixed(service));
        services[3] = fixed(service * slowFactor);
        Scene<Policy> scene(std::move(services), 2);
        LoadSettings load;
        load.m_connections = 1600;
        load.m_rate = 0.5 * 10 * slots * 1e6 / service;
        load.m_warmUp = std::chrono::seconds(1);
        load.m_length = std::chrono::seconds(3);
        load.m_addresses = { scene.address() };
        return runLoad(load, FLAGS_seed).first.percentile(0.99) / 1000;
    }

    /// p99 with one minion in ten that is ten times slower.
    void measureSlowMinion(BenchReport& report)
    {
        const double without = tailWith<routing::LeastOutstanding>(1);
        const double with = tailWith<routing::LeastOutstanding>(10);
        const double baseline = tailWith<routing::RoundRobin>(10);
        report.add("slow minion: p99 without it", without, "ms");
        report.add("slow minion: p99 with one in ten 10x slower", with, "ms", Target::atMost(1.5 * without), baseline);
    }

    template <routing::ChoicePolicy Policy> LoadResult overload(double factor)
    {
        constexpr double service = 8000;
        Scene<Policy> scene(repeated(4, exponential(service)), 2);
        LoadSettings load;
        load.m_connections = 3000;
        load.m_threads = 3;
        load.m_rate = factor * 4 * slots * 1e6 / service;
        load.m_warmUp = std::chrono::seconds(1);
        load.m_length = std::chrono::seconds(3);
        load.m_deadline = std::chrono::milliseconds(100);
        load.m_addresses = { scene.address() };
        return runLoad(load, FLAGS_seed).first;
    }

    /// Answers in time from half to three times the capacity.
    void measureOverload(BenchReport& report)
    {
        double atCapacity = 0;
        for (const double factor : { 0.5, 1.0, 1.5, 2.0, 3.0 }) {
            LoadResult result = overload<routing::LeastOutstanding>(factor);
            LoadResult baseline = overload<routing::RoundRobin>(factor);
            const double goodput = static_cast<double>(result.m_inTime) / result.m_seconds;
            if (factor == 1.0)
                atCapacity = goodput;
            const std::string name = "overload: " + std::to_string(factor).substr(0, 3) + "x capacity: ";
            report.add(name + "goodput", goodput, "1/s",
                factor >= 2.0 ? std::optional(Target::atLeast(0.95 * atCapacity)) : std::nullopt,
                static_cast<double>(baseline.m_inTime) / baseline.m_seconds);
            report.add(
                name + "answered too late", static_cast<double>(result.m_answered - result.m_inTime), "requests");
            report.add(name + "refused", static_cast<double>(result.m_refused), "requests");
            report.add(name + "p99 of the answered", result.percentile(0.99) / 1000, "ms");
        }
    }

    /// A minion that dies under load.
    template <routing::ChoicePolicy Policy> std::pair<double, double> death()
    {
        Scene<Policy> scene(repeated(4, fixed(5000)), 2);
        LoadSettings load;
        load.m_connections = 64;
        load.m_rate = 3000;
        load.m_idempotent = false;
        load.m_addresses = { scene.address() };
        TimePoint died;
        std::thread killer([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(1500));
            died = steadyNow();
            scene.hooks().watch(scene.minion(1));
            scene.minion(1).die();
        });
        const LoadResult result = runLoad(load, FLAGS_seed).first;
        killer.join();
        // The decisions up to the first pause of 400 ms; what follows are the single trials of a readmission.
        TimePoint last = died;
        for (const TimePoint decision : scene.hooks().watchedDecisions()) {
            if (decision - last > std::chrono::milliseconds(400))
                break;
            last = decision;
        }
        return { static_cast<double>((last - died).count()) / 1000,
            static_cast<double>(result.m_errors + result.m_refused) };
    }

    void measureDeath(BenchReport& report)
    {
        const auto [millis, failures] = death<routing::LeastOutstanding>();
        const auto [baselineMillis, baselineFailures] = death<routing::RoundRobin>();
        report.add(
            "death: time until the dead minion gets nothing", millis, "ms", Target::atMost(3000), baselineMillis);
        report.add("death: non-repeatable requests that failed", failures, "requests", {}, baselineFailures);
    }

    double residentBytes()
    {
        std::ifstream statm("/proc/self/statm");
        std::uint64_t total = 0;
        std::uint64_t resident = 0;
        statm >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
    }

    /// Growth of the resident memory with 5,000 connections that were used once and wait.
    void measureMemory(BenchReport& report)
    {
        constexpr unsigned count = 5000;
        rlimit limit {};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 20000);
        setrlimit(RLIMIT_NOFILE, &limit);
        Scene<routing::LeastOutstanding> scene(repeated(4, fixed(0)), 2);
        asio::io_context context;
        std::vector<Socket> sockets;
        sockets.reserve(count);
        const std::string text = "GET /v1/services/desk/match HTTP/1.1\r\nHost: bench\r\n\r\n";
        std::array<char, 1024> answer {};
        double before = 0;
        const std::optional<asio::ip::tcp::endpoint> endpoint = parseEndpoint(scene.address());
        assert(endpoint);
        for (unsigned i = 0; endpoint && i < count + 100; ++i) {
            // The first connections pay for what the process allocates once.
            if (i == 100)
                before = residentBytes();
            sockets.emplace_back(context).connect(*endpoint);
            asio::write(sockets.back(), asio::buffer(text));
            sockets.back().read_some(asio::buffer(answer));
        }
        const double perConnection = (residentBytes() - before) / count;
        report.add("memory: per idle connection at 5,000, caller side included", perConnection, "bytes");
    }

    /// Mean and p99 of the time in the system of a simulation in which several daemons choose among minions by reports
    /// of a given age, in units of the service time.
    template <routing::ChoicePolicy Policy> std::pair<double, double> simulate(double reportAge)
    {
        constexpr std::size_t daemons = 8;
        constexpr std::size_t minions = 50;
        constexpr double load = 0.8;
        constexpr std::size_t requests = 200000;
        Random random(FLAGS_seed);
        std::vector<Policy> policies(daemons);
        std::vector<std::vector<routing::Candidate>> views(daemons);
        std::vector<double> freeAt(minions, 0);
        std::vector<std::vector<double>> ends(minions);
        std::vector<double> nextReport(daemons, 0);
        std::vector<double> times;
        double now = 0;
        for (std::size_t i = 0; i < requests; ++i) {
            now += -std::log(1.0 - random.unit()) / (load * minions);
            const std::size_t daemon = random.below(daemons);
            if (now >= nextReport[daemon]) {
                nextReport[daemon] = now + reportAge;
                views[daemon].clear();
                for (std::uint32_t m = 0; m < minions; ++m) {
                    std::erase_if(ends[m], [&](double end) { return end <= now; });
                    views[daemon].push_back({ m, static_cast<std::uint32_t>(ends[m].size()), 1, 1000 });
                }
            }
            const std::size_t chosen = policies[daemon].choose(views[daemon], random);
            // A daemon knows what it sent itself.
            ++views[daemon][chosen].m_outstanding;
            freeAt[chosen] = std::max(freeAt[chosen], now) - std::log(1.0 - random.unit());
            ends[chosen].push_back(freeAt[chosen]);
            if (i > requests / 10)
                times.push_back(freeAt[chosen] - now);
        }
        const double mean = std::accumulate(times.begin(), times.end(), 0.0) / static_cast<double>(times.size());
        const auto index = static_cast<std::ptrdiff_t>(0.99 * static_cast<double>(times.size()));
        std::nth_element(times.begin(), times.begin() + index, times.end());
        return { mean, times[static_cast<std::size_t>(index)] };
    }

    template <routing::ChoicePolicy Policy> void addPolicy(BenchReport& report)
    {
        for (const double age : { 0.0, 1.0, 4.0, 16.0 }) {
            const std::string name = "policy: " + std::string(Policy::name()) + ", reports of "
                + std::to_string(static_cast<int>(age)) + " service times: ";
            const auto [mean, tail] = simulate<Policy>(age);
            const auto [baseMean, baseTail] = simulate<routing::RoundRobin>(age);
            report.add(name + "mean", mean, "service", {}, baseMean);
            report.add(name + "p99", tail, "service", {}, baseTail);
        }
    }

    void measurePolicies(BenchReport& report)
    {
        addPolicy<routing::LeastOutstanding>(report);
        addPolicy<routing::PowerOfTwoChoices>(report);
        addPolicy<routing::JoinShortestQueue>(report);
    }

} // namespace

} // namespace sapphiredale::bench

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using namespace sapphiredale::bench;
    BenchReport report(FLAGS_only);
    const std::vector<std::pair<std::string, void (*)(BenchReport&)>> parts { { "latency", measureLatency },
        { "throughput", measureThroughput }, { "slow", measureSlowMinion }, { "overload", measureOverload },
        { "death", measureDeath }, { "memory", measureMemory }, { "policy", measurePolicies } };
    for (const auto& [name, measure] : parts) {
        if (report.wants(name))
            measure(report);
    }
    return report.finish(FLAGS_json);
}
