#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace bilberrytally::decisions
{
//! Retry budget of one root request: the number of extra attempts that it may
//! still spend. Each of them is held at one node at a time: a share that is
//! passed on with a call is not available here until the answer returns what
//! was not spent.
class request_retry_budget
{
public:
    explicit request_retry_budget(std::uint32_t attempts);

    //! Takes out the share for a nested call: half, rounded up, so that each of
    //! several parallel nested calls gets some.
    std::uint32_t take_for_nested_call();

    //! Takes out the share that is passed on with a dispatch: all but one
    //! attempt, which is kept so that a lost answer can still be retried.
    std::uint32_t take_for_dispatch();

    //! Returns the unspent budget that an answer carried.
    void return_unspent(std::uint32_t attempts);

    //! Spends \p count extra attempts. Returns false, and spends none, if fewer
    //! are left.
    bool spend(std::uint32_t count = 1);

    //! Number of extra attempts that are left here.
    std::uint32_t left() const;

    bool operator==(const request_retry_budget&) const = default;

private:
    std::uint32_t attempts;
};

//! Limits the retries of a node to a share of the first attempts of its calls.
//! Each service has a token bucket of its own. Used in fleets that are
//! configured by tickets; where a store publishes the routes,
//! fleet_retry_budget limits retries instead.
class retry_throttle
{
public:
    //! Counts the first attempt of a call, which adds \p percent of a token.
    void on_first_attempt(const std::string& service, std::uint32_t percent);

    //! Takes one token for a retry. Returns false if the service has none left.
    bool allow_retry(const std::string& service);

    //! Number of tokens of a service; one token allows one retry.
    double tokens(const std::string& service) const;

private:
    std::unordered_map<std::string, double> buckets;
};
} // namespace bilberrytally::decisions
