#include "transport/metrics.hpp"

#include <map>
#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace banyanshunt
{
namespace
{

const prometheus::Histogram::BucketBoundaries duration_buckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.72, 1, 2, 3, 5, 8, 13, 21, 34, 55};

prometheus::Labels labels_of(const std::vector<metric_label>& labels)
{
    prometheus::Labels out;
    for (const auto& label : labels)
    {
        out.emplace(label.name, label.value);
    }
    return out;
}

} // namespace

struct metrics::impl
{
    prometheus::Registry registry;
    std::mutex mutex;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;

    // Returns the family of that name; `builder` creates it on first use.
    template <class Kind, class Builder>
    prometheus::Family<Kind>& family(std::map<std::string, prometheus::Family<Kind>*>& known,
                                     const std::string& name, Builder builder)
    {
        std::lock_guard lock(mutex);
        auto& slot = known[name];
        if (!slot)
        {
            slot = &builder.Name(name).Register(registry);
        }
        return *slot;
    }
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}
metrics::~metrics() = default;

void metrics::increment(const std::string& name, const std::vector<metric_label>& labels, double n)
{
    auto& family = impl_->family(impl_->counters, name, prometheus::BuildCounter());
    family.Add(labels_of(labels)).Increment(n);
}

void metrics::set(const std::string& name, double value, const std::vector<metric_label>& labels)
{
    auto& family = impl_->family(impl_->gauges, name, prometheus::BuildGauge());
    family.Add(labels_of(labels)).Set(value);
}

void metrics::observe(const std::string& name, std::chrono::nanoseconds duration,
                      const std::vector<metric_label>& labels)
{
    auto& family = impl_->family(impl_->histograms, name, prometheus::BuildHistogram());
    double s = std::chrono::duration<double>(duration).count();
    family.Add(labels_of(labels), duration_buckets).Observe(s);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace banyanshunt
