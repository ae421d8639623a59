// Counters, gauges and histograms with labels, and their Prometheus text. The list of metrics is closed (MetricName),
// and docs/METRICS.md describes each of them.
#pragma once

#include "observability/MetricName.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace sapphiredale::observability {

/// A number that only grows. All functions may be called from several threads.
class Counter {
public:
    virtual ~Counter() = default;
    virtual void add(std::uint64_t amount = 1) = 0;
    /// Raises the counter to a total that is kept elsewhere; a smaller total has no effect.
    virtual void raiseTo(std::uint64_t total) = 0;
    virtual std::uint64_t value() const = 0;
};

/// A number that is set. All functions may be called from several threads.
class Gauge {
public:
    virtual ~Gauge() = default;
    virtual void set(double value) = 0;
    virtual void add(double amount) = 0;
    virtual double value() const = 0;
};

/// A distribution over logarithmic buckets. All functions may be called from several threads.
class Distribution {
public:
    virtual ~Distribution() = default;
    /// Records a value in the unit of the metric (seconds or bytes).
    virtual void record(double value) = 0;
    virtual std::uint64_t count() const = 0;
    virtual double sum() const = 0;
};

/// Settings that build a MetricsRegistry.
struct MetricsSettings {
    /// Most label combinations of one metric; further ones are counted together under the label value "other". It
    /// bounds memory when label values come from a file or a message.
    std::size_t m_maxSeries = 1000;
};

/// Holds every metric of a daemon. References stay valid as long as the registry; callers on a hot path keep them.
class MetricsRegistry {
public:
    using Labels = std::initializer_list<std::string_view>;

    explicit MetricsRegistry(const MetricsSettings& = {});
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry&) = delete;
    MetricsRegistry& operator=(const MetricsRegistry&) = delete;

    /// The series with these label values, in the order of the metric's label names. The function must match the type
    /// of the metric and the number of its labels (asserted).
    Counter& counter(MetricName, Labels = {});
    Gauge& gauge(MetricName, Labels = {});
    Distribution& distribution(MetricName, Labels = {});

    /// Every series in the Prometheus text format, in a stable order.
    std::string prometheusText() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace sapphiredale::observability
