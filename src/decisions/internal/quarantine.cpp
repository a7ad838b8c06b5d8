#include "decisions/quarantine.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! Crash reports lapse this long after the last one about the same request.
constexpr base::duration_ms crash_report_lifetime{600000};
//! Bound of the number of suspected requests.
constexpr std::size_t max_entries = 10000;
//! Crash reports from which on a request is refused.
constexpr std::size_t refuse_crash_reports = 2;
} // namespace

void quarantine::record_crash(
    std::uint64_t fingerprint, const std::string& crash, base::time_ms reported)
{
    if (this->entries.size() >= max_entries &&
        this->entries.count(fingerprint) == 0)
    {
        this->drop_old(reported);
    }
    auto& entry = this->entries[fingerprint];
    entry.crashes.insert(crash);
    entry.last_report = std::max(entry.last_report, reported);
}

std::set<std::string> quarantine::crashes(std::uint64_t fingerprint) const
{
    const auto found = this->entries.find(fingerprint);
    return found == this->entries.end() ? std::set<std::string>{}
                                        : found->second.crashes;
}

std::set<std::string>
quarantine::crashed_instances(std::uint64_t fingerprint) const
{
    std::set<std::string> instances;
    for (const auto& crash : this->crashes(fingerprint))
    {
        instances.insert(crash.substr(0, crash.rfind('#')));
    }
    return instances;
}

void quarantine::clear(std::uint64_t fingerprint)
{
    this->entries.erase(fingerprint);
}

quarantine_decision
quarantine::check(std::uint64_t fingerprint, bool may_probe, base::time_ms now)
{
    if (!this->has_crash_report(fingerprint, now))
    {
        return quarantine_decision::pass;
    }
    if (this->entries.at(fingerprint).crashes.size() >= refuse_crash_reports)
    {
        return quarantine_decision::refuse;
    }
    if (!may_probe)
    {
        return quarantine_decision::elsewhere;
    }
    if (this->probed_request)
    {
        return quarantine_decision::wait;
    }
    this->probed_request = fingerprint;
    return quarantine_decision::probe_run;
}

void quarantine::end_probe_run(std::uint64_t fingerprint)
{
    if (this->probed_request == fingerprint)
    {
        this->probed_request.reset();
    }
}

bool quarantine::has_crash_report(
    std::uint64_t fingerprint, base::time_ms now) const
{
    const auto found = this->entries.find(fingerprint);
    return found != this->entries.end() &&
           now - found->second.last_report < crash_report_lifetime;
}

std::vector<crash_record> quarantine::records(base::time_ms now) const
{
    std::vector<crash_record> rows;
    for (const auto& [fingerprint, entry] : this->entries)
    {
        if (!this->has_crash_report(fingerprint, now))
        {
            continue;
        }
        for (const auto& crash : entry.crashes)
        {
            rows.push_back({fingerprint, crash, entry.last_report});
        }
    }
    return rows;
}

std::vector<quarantine_view> quarantine::view(base::time_ms now) const
{
    std::vector<quarantine_view> rows;
    for (const auto& [fingerprint, entry] : this->entries)
    {
        if (this->has_crash_report(fingerprint, now))
        {
            const auto count = static_cast<std::uint32_t>(entry.crashes.size());
            rows.push_back({fingerprint, count});
        }
    }
    return rows;
}

void quarantine::drop_old(base::time_ms now)
{
    std::erase_if(
        this->entries, [&](const auto& item)
        { return now - item.second.last_report >= crash_report_lifetime; });
    while (this->entries.size() >= max_entries)
    {
        const auto oldest = std::min_element(
            this->entries.begin(), this->entries.end(),
            [](const auto& a, const auto& b)
            { return a.second.last_report < b.second.last_report; });
        this->entries.erase(oldest);
    }
}
} // namespace bilberrytally::decisions
