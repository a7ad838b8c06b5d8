#pragma once

#include "base/time.hpp"
#include "base/verdict.hpp"
#include "schema/messages.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bilberrytally::decisions
{
//! One send of a request with an idempotency key.
struct keyed_send
{
    std::string key;
    std::string service;
    //! Digest of the request.
    std::uint64_t digest{0};
    //! The caller's number for this send, 0 if not given.
    std::uint32_t send_number{0};

    bool operator==(const keyed_send&) const = default;
};

//! The send is the first one: run it.
struct run_now
{
};
//! An earlier send is in flight: wait for its answer.
struct join_running
{
};
//! An earlier send has ended: this is its answer.
struct answer_recorded
{
    schema::answer answer;
};
//! The send is not run.
struct refuse_send
{
    base::verdict verdict;
    schema::refusal reason;
};

using key_decision =
    std::variant<run_now, join_running, answer_recorded, refuse_send>;

//! The record of idempotency keys at their home. Keys that the home issued
//! carry a sequence number; each runs at most once and is refused once its
//! record may have been dropped. Callers' own keys run only on a send
//! numbered 1 for which there is no record.
class key_records
{
public:
    //! \p capacity bounds the records, \p lifetime how long each is kept.
    key_records(std::size_t capacity, base::duration_ms lifetime);

    //! Issues the next sequence number.
    std::uint64_t issue(base::time_ms now);

    //! A send with an issued key.
    key_decision on_issued(
        std::uint64_t sequence, const keyed_send& send, base::time_ms now);

    //! A send with the caller's own key.
    key_decision on_own(const keyed_send& send, base::time_ms now);

    //! The run ended. A provable not_run frees the key for a later send.
    void finish(const keyed_send& send, const schema::answer& answer);

    std::size_t size() const;

private:
    struct record
    {
        std::uint64_t digest{0};
        std::uint64_t sequence{0};
        bool running{false};
        //! The run ended with not_run; a later send may run.
        bool freed{false};
        std::optional<schema::answer> answer;
        base::time_ms created;
    };
    struct issue_mark
    {
        std::uint64_t sequence;
        base::time_ms issued;
    };

    static std::string name(const keyed_send& send);
    key_decision decide_known(record& known, const keyed_send& send);
    key_decision
    open(const keyed_send& send, std::uint64_t sequence, base::time_ms now);
    void drop_old(base::time_ms now);
    void drop_front();

    std::size_t capacity;
    base::duration_ms lifetime;
    std::unordered_map<std::string, record> records;
    std::deque<std::string> by_age;
    std::uint64_t next_sequence{1};
    //! Issued keys below this may have lost their record.
    std::uint64_t lowest_valid{1};
    std::deque<issue_mark> marks;
    std::size_t answer_bytes{0};
};
} // namespace bilberrytally::decisions
