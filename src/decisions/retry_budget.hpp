#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace bilberrytally::decisions
{
//! Extra attempts of a root request, held at one place at a time. What is
//! handed down with a call is gone here until the answer brings it back.
class retry_budget
{
public:
    explicit retry_budget(std::uint32_t attempts);

    //! Part for a child call: half, rounded up, so that parallel children
    //! each find some.
    std::uint32_t take_for_child();

    //! Part that travels with a dispatch: all but one, which is kept so that
    //! a lost answer can still be retried.
    std::uint32_t take_for_dispatch();

    //! Takes back what an answer did not spend.
    void give_back(std::uint32_t attempts);

    //! Spends extra attempts; false, and none spent, where fewer are left.
    bool spend(std::uint32_t count = 1);

    std::uint32_t left() const;

    bool operator==(const retry_budget&) const = default;

private:
    std::uint32_t attempts;
};

//! Limits the retries of a node to a share of its fresh calls, per service.
class retry_ratio
{
public:
    void on_fresh_call(const std::string& service, std::uint32_t percent);

    //! Takes one token; false where the service has none left.
    bool allow_retry(const std::string& service);

    //! Tokens of a service; one token allows one retry.
    double tokens(const std::string& service) const;

private:
    std::unordered_map<std::string, double> buckets;
};
} // namespace bilberrytally::decisions
