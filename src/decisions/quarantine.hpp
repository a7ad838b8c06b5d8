#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberrytally::decisions
{
//! What to do with a request, depending on the crash reports about its
//! fingerprint.
enum class quarantine_decision
{
    pass,      //!< No crash report is known: run it.
    probe_run, //!< One crash report: run it here as the only probe run.
    wait,      //!< One crash report: another probe run is in progress here.
    elsewhere, //!< One crash report: another target does the probe run.
    refuse,    //!< Two or more crash reports: refuse it.
};

//! One suspected request, as shown to operators.
struct quarantine_view
{
    std::uint64_t fingerprint{0};
    //! Number of crash reports.
    std::uint32_t crash_reports{0};

    bool operator==(const quarantine_view&) const = default;
};

//! A crash report in force.
struct crash_record
{
    std::uint64_t fingerprint{0};
    //! Instance id, '#', and the number of the crash.
    std::string crash;
    //! When the last crash of the request was reported.
    base::time_ms reported;

    auto operator<=>(const crash_record&) const = default;
};

//! Suspected requests: those that were in flight when a backend server crashed.
//! After one crash report a request may only make a probe run, on one target of
//! the service and with no other suspected request beside it. After two crash
//! reports it is refused until 10 minutes after the last report.
class quarantine
{
public:
    //! Records a crash report: a backend server crashed while it ran the
    //! request. \p crash is the instance id, '#', and the number of the crash;
    //! the same crash counts once. \p reported may lie in the past.
    void record_crash(
        std::uint64_t fingerprint, const std::string& crash,
        base::time_ms reported);

    //! Ids of the crashes while the request ran.
    std::set<std::string> crashes(std::uint64_t fingerprint) const;

    //! Instances whose backend servers crashed while they ran the request.
    std::set<std::string> crashed_instances(std::uint64_t fingerprint) const;

    //! Drops all crash reports of a request that completed a probe run.
    void clear(std::uint64_t fingerprint);

    //! Decides about a request that arrived at a target. \p may_probe is true
    //! if this is the target that may do the probe run.
    quarantine_decision
    check(std::uint64_t fingerprint, bool may_probe, base::time_ms now);

    //! Ends the probe run that check() allowed.
    void end_probe_run(std::uint64_t fingerprint);

    //! True if there is at least one current crash report about the request.
    bool has_crash_report(std::uint64_t fingerprint, base::time_ms now) const;

    //! All crash reports in force.
    std::vector<crash_record> records(base::time_ms now) const;

    //! All suspected requests with current crash reports.
    std::vector<quarantine_view> view(base::time_ms now) const;

private:
    struct entry
    {
        std::set<std::string> crashes;
        base::time_ms last_report{INT64_MIN / 2};
    };

    void drop_old(base::time_ms now);

    std::unordered_map<std::uint64_t, entry> entries;
    std::optional<std::uint64_t> probed_request;
};
} // namespace bilberrytally::decisions
