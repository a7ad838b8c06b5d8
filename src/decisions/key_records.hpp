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
//! One send of a request that carries an idempotency key.
struct keyed_send
{
    std::string key;
    std::string service;
    //! Digest of the request; must be equal for all sends with the same key.
    std::uint64_t digest{0};
    //! Number that the caller gave this send, from 1; 0 if not given.
    std::uint32_t send_number{0};

    bool operator==(const keyed_send&) const = default;
};

//! The send may run: it is the first one, or all earlier ones did not run.
struct run_now
{
};
//! An earlier send is still in flight: wait for its answer.
struct join_running
{
};
//! An earlier send has ended: return its recorded answer.
struct answer_recorded
{
    schema::answer answer;
};
//! The send must not run.
struct refuse_send
{
    base::verdict verdict;
    schema::refusal reason;
};

using key_decision =
    std::variant<run_now, join_running, answer_recorded, refuse_send>;

//! Records of the idempotency keys for which this node is the home, the node
//! that decides about their sends. Keys that the home issued carry a sequence
//! number. A request with such a key runs at most once; it is refused as soon
//! as the record of the key may have been dropped. Client-supplied keys run
//! only on a send numbered 1 for which there is no record.
class key_records
{
public:
    //! \p capacity bounds the number of records. \p lifetime is how long an
    //! issued key stays valid; its record is kept for twice as long.
    key_records(std::size_t capacity, base::duration_ms lifetime);

    //! Issues a new key and returns its sequence number.
    std::uint64_t issue(base::time_ms now);

    //! Decides about a send with an issued key.
    key_decision on_issued(
        std::uint64_t sequence, const keyed_send& send, base::time_ms now);

    //! Decides about a send with a client-supplied key.
    key_decision on_client_key(const keyed_send& send, base::time_ms now);

    //! Records the outcome of a run. After the verdict not_run a later send
    //! may run.
    void finish(const keyed_send& send, const schema::answer& answer);

    //! Number of records.
    std::size_t size() const;

private:
    struct record
    {
        std::uint64_t digest{0};
        std::uint64_t sequence{0};
        bool running{false};
        //! The last run ended with not_run, so a later send may run.
        bool rerun_allowed{false};
        std::optional<schema::answer> answer;
        base::time_ms created;
    };
    //! Sequence number and time of one issued key; the age of the keys in
    //! between follows from them without a record for each key.
    struct issue_checkpoint
    {
        std::uint64_t sequence;
        base::time_ms issued;
    };

    static std::string record_name(const keyed_send& send);
    key_decision decide_recorded(record& existing, const keyed_send& send);
    key_decision start_record(
        const keyed_send& send, std::uint64_t sequence, base::time_ms now);
    void drop_expired(base::time_ms now);
    void drop_oldest();

    std::size_t capacity;
    base::duration_ms lifetime;
    std::unordered_map<std::string, record> records;
    std::deque<std::string> by_age;
    std::uint64_t next_sequence{1};
    //! Issued keys with a lower sequence number may have lost their record.
    std::uint64_t lowest_valid_sequence{1};
    std::deque<issue_checkpoint> checkpoints;
    //! Total size of the bodies of all recorded answers.
    std::size_t answer_bytes{0};
};
} // namespace bilberrytally::decisions
