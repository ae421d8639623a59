// Storage of the series and the Prometheus text format.

#include "observability/MetricsRegistry.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cassert>
#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <vector>

namespace sapphiredale::observability {

namespace {

    namespace bh = boost::histogram;

    class AtomicCounter final : public Counter {
    public:
        void add(std::uint64_t amount) override { m_value.fetch_add(amount, std::memory_order_relaxed); }
        void raiseTo(std::uint64_t total) override
        {
            std::uint64_t present = m_value.load(std::memory_order_relaxed);
            while (present < total && !m_value.compare_exchange_weak(present, total, std::memory_order_relaxed)) { }
        }
        std::uint64_t value() const override { return m_value.load(std::memory_order_relaxed); }

    private:
        std::atomic<std::uint64_t> m_value = 0;
    };

    class AtomicGauge final : public Gauge {
    public:
        void set(double value) override { m_value.store(value, std::memory_order_relaxed); }
        void add(double amount) override { m_value.fetch_add(amount, std::memory_order_relaxed); }
        double value() const override { return m_value.load(std::memory_order_relaxed); }

    private:
        std::atomic<double> m_value = 0;
    };

    /// Range of the logarithmic buckets; the underflow and overflow buckets take the values outside.
    struct BucketRange {
        unsigned m_buckets;
        double m_min;
        double m_max;
    };

    /// Five buckets per decade for seconds (10 us to 1000 s) and three for bytes (10 B to 1 GB). A quantile read from
    /// them is off by at most a factor of 1.6 or 2.2, and a series has at most 40 lines.
    BucketRange rangeOf(MetricName metric)
    {
        return entryOf(metric).m_name.ends_with("_bytes") ? BucketRange { 24, 10, 1e9 } : BucketRange { 40, 1e-5, 1e3 };
    }

    class LogDistribution final : public Distribution {
    public:
        explicit LogDistribution(const BucketRange& range)
            : m_histogram(bh::make_histogram_with(Storage(), Axis(range.m_buckets, range.m_min, range.m_max)))
        {
        }

        void record(double value) override
        {
            // A negative or undefined value is a fault of the caller's clock; it counts in the lowest bucket.
            const double usable = value > 0 ? value : 0;
            m_histogram(usable);
            m_sum.fetch_add(usable, std::memory_order_relaxed);
        }

        std::uint64_t count() const override
        {
            std::uint64_t result = 0;
            for (const auto& cell : m_histogram)
                result += cell.value();
            return result;
        }

        double sum() const override { return m_sum.load(std::memory_order_relaxed); }

        /// Calls visitor(upper bound, number of values at or below it) for every bucket but the last, unbounded one.
        template <typename Visitor> std::uint64_t visitCumulative(Visitor visitor) const
        {
            std::uint64_t total = 0;
            for (auto&& cell : bh::indexed(m_histogram, bh::coverage::all)) {
                total += cell->value();
                if (cell.bin().upper() < std::numeric_limits<double>::infinity())
                    visitor(cell.bin().upper(), total);
            }
            return total;
        }

    private:
        using Axis = bh::axis::regular<double, bh::axis::transform::log>;
        using Storage = bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;
        using Histogram = decltype(bh::make_histogram_with(Storage(), std::declval<Axis>()));

        /// The axis never grows, so filling changes only the atomic cells.
        Histogram m_histogram;
        std::atomic<double> m_sum = 0;
    };

    using LabelValues = std::vector<std::string>;

    /// Series of one metric under their own lock, so that recording of one metric never waits for another.
    template <typename Series> class Family {
    public:
        template <typename Create>
        Series& series(MetricsRegistry::Labels labels, std::size_t maxSeries, const Create& create)
        {
            {
                const std::shared_lock lock(m_mutex);
                if (const auto found = m_series.find(labels); found != m_series.end())
                    return *found->second;
            }
            const std::lock_guard lock(m_mutex);
            LabelValues values(labels.begin(), labels.end());
            if (m_series.size() >= maxSeries && !m_series.contains(values))
                values.assign(labels.size(), "other");
            std::unique_ptr<Series>& slot = m_series[std::move(values)];
            if (!slot)
                slot = create();
            return *slot;
        }

        template <typename Visitor> void visit(const Visitor& visitor) const
        {
            const std::shared_lock lock(m_mutex);
            for (const auto& [labels, series] : m_series)
                visitor(labels, *series);
        }

    private:
        struct Less {
            using is_transparent = void;
            template <typename A, typename B> bool operator()(const A& a, const B& b) const
            {
                return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end());
            }
        };

        mutable std::shared_mutex m_mutex;
        std::map<LabelValues, std::unique_ptr<Series>, Less> m_series;
    };

    /// Text of one scrape.
    class TextWriter {
    public:
        void header(const MetricEntry& entry)
        {
            append({ "# HELP ", entry.m_name, " ", entry.m_help, "\n# TYPE ", entry.m_name, " ", nameOf(entry.m_type),
                "\n" });
        }

        void line(const MetricEntry& entry, std::string_view suffix, const LabelValues& labels, std::string_view bound,
            const std::string& value)
        {
            append({ entry.m_name, suffix });
            char separator = '{';
            for (std::size_t i = 0; i < labels.size(); ++i) {
                label(separator, entry.m_labels[i], labels[i]);
                separator = ',';
            }
            if (!bound.empty()) {
                label(separator, "le", bound);
                separator = ',';
            }
            append({ separator == '{' ? " " : "} ", value, "\n" });
        }

        static std::string number(double value)
        {
            std::array<char, 32> buffer {};
            const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
            return { buffer.data(), error == std::errc() ? end : buffer.data() };
        }

        std::string take() { return std::move(m_text); }

    private:
        void append(std::initializer_list<std::string_view> parts)
        {
            for (const std::string_view part : parts)
                m_text += part;
        }

        void label(char separator, std::string_view name, std::string_view value)
        {
            m_text += separator;
            append({ name, "=\"" });
            for (const char c : value) {
                if (c == '\\' || c == '"')
                    m_text += '\\';
                if (c == '\n')
                    m_text += "\\n";
                else
                    m_text += c;
            }
            m_text += '"';
        }

        std::string m_text;
    };

} // namespace

class MetricsRegistry::Impl {
public:
    explicit Impl(const MetricsSettings& settings)
        : m_settings(settings)
    {
    }

    template <typename Series, typename Create>
    Series& find(std::array<Family<Series>, metricCount>& families, MetricName metric, [[maybe_unused]] MetricType type,
        Labels labels, const Create& create)
    {
        assert(entryOf(metric).m_type == type);
        assert(entryOf(metric).labelCount() == labels.size());
        return families[static_cast<std::size_t>(metric)].series(labels, m_settings.m_maxSeries, create);
    }

    void write(TextWriter& writer, std::size_t index) const
    {
        const MetricEntry& entry = entryOf(static_cast<MetricName>(index));
        writer.header(entry);
        m_counters[index].visit([&](const LabelValues& labels, const Counter& series) {
            writer.line(entry, "", labels, "", std::to_string(series.value()));
        });
        m_gauges[index].visit([&](const LabelValues& labels, const Gauge& series) {
            writer.line(entry, "", labels, "", TextWriter::number(series.value()));
        });
        m_distributions[index].visit([&](const LabelValues& labels, const LogDistribution& series) {
            const std::uint64_t total = series.visitCumulative([&](double bound, std::uint64_t count) {
                writer.line(entry, "_bucket", labels, TextWriter::number(bound), std::to_string(count));
            });
            writer.line(entry, "_bucket", labels, "+Inf", std::to_string(total));
            writer.line(entry, "_sum", labels, "", TextWriter::number(series.sum()));
            writer.line(entry, "_count", labels, "", std::to_string(total));
        });
    }

    const MetricsSettings m_settings;
    std::array<Family<Counter>, metricCount> m_counters;
    std::array<Family<Gauge>, metricCount> m_gauges;
    std::array<Family<LogDistribution>, metricCount> m_distributions;
};

MetricsRegistry::MetricsRegistry(const MetricsSettings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

MetricsRegistry::~MetricsRegistry() = default;

Counter& MetricsRegistry::counter(MetricName metric, Labels labels)
{
    return m_impl->find(
        m_impl->m_counters, metric, MetricType::Counter, labels, [] { return std::make_unique<AtomicCounter>(); });
}

Gauge& MetricsRegistry::gauge(MetricName metric, Labels labels)
{
    return m_impl->find(
        m_impl->m_gauges, metric, MetricType::Gauge, labels, [] { return std::make_unique<AtomicGauge>(); });
}

Distribution& MetricsRegistry::distribution(MetricName metric, Labels labels)
{
    return m_impl->find(m_impl->m_distributions, metric, MetricType::Histogram, labels,
        [metric] { return std::make_unique<LogDistribution>(rangeOf(metric)); });
}

std::string MetricsRegistry::prometheusText() const
{
    TextWriter writer;
    for (std::size_t i = 0; i < metricCount; ++i)
        m_impl->write(writer, i);
    return writer.take();
}

} // namespace sapphiredale::observability
