#pragma once

#include "base/verdict.hpp"
#include "schema/messages.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bilberrytally::node
{
//! Requests of a workspace that needed tokens of its quota, a second.
struct workspace_use
{
    std::string workspace;
    double granted_per_s{0};
    double refused_per_s{0};

    bool operator==(const workspace_use&) const = default;
};

//! Metrics of a node, named by the Prometheus conventions.
class metrics
{
public:
    metrics();

    //! Records the outcome of a caller's request and its duration in seconds.
    void on_request(
        const std::string& service, base::verdict verdict,
        schema::refusal reason, std::uint32_t priority, double seconds);

    //! Counts an event by its kind, for example retry or strike.
    void on_event(const std::string& kind, double count = 1);

    //! Records the times that an inbound call spent in the queue and at the
    //! local backend server, in seconds.
    void on_backend_call(double wait_seconds, double service_seconds);

    void set_gauge(const std::string& name, double value);

    //! Replaces the use by workspace. Callers bound the number of workspaces.
    void set_workspace_use(const std::vector<workspace_use>& uses);

    //! All metrics in the Prometheus text exposition format.
    std::string expose() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Counter>& events;
    prometheus::Family<prometheus::Gauge>& gauges;
    prometheus::Family<prometheus::Gauge>& workspace_rates;
    std::vector<prometheus::Gauge*> current_workspace_rates;
    prometheus::Histogram& request_seconds;
    prometheus::Histogram& queue_seconds;
    prometheus::Histogram& service_seconds;
};
} // namespace bilberrytally::node
