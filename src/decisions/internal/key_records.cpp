#include "decisions/key_records.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! Bound of the total size of recorded answer bodies.
constexpr std::size_t max_answer_bytes = 32U << 20U;
//! Least time between two checkpoints of issued keys.
constexpr base::duration_ms checkpoint_interval{1000};

refuse_send refuse_may_have_run(schema::refusal reason)
{
    return {base::verdict::may_have_run, reason};
}
} // namespace

key_records::key_records(std::size_t capacity, base::duration_ms lifetime)
    : capacity(capacity), lifetime(lifetime)
{
}

std::uint64_t key_records::issue(base::time_ms now)
{
    if (this->checkpoints.empty() ||
        now - this->checkpoints.back().issued >= checkpoint_interval)
    {
        this->checkpoints.push_back({this->next_sequence, now});
    }
    return this->next_sequence++;
}

key_decision key_records::on_issued(
    std::uint64_t sequence, const keyed_send& send, base::time_ms now)
{
    this->drop_expired(now);
    const auto found = this->records.find(record_name(send));
    if (found != this->records.end())
    {
        return this->decide_recorded(found->second, send);
    }
    if (sequence >= this->next_sequence)
    {
        return refuse_send{
            base::verdict::not_run, schema::refusal::key_unknown};
    }
    if (sequence < this->lowest_valid_sequence)
    {
        return refuse_may_have_run(schema::refusal::key_unknown);
    }
    return this->start_record(send, sequence, now);
}

key_decision
key_records::on_client_key(const keyed_send& send, base::time_ms now)
{
    this->drop_expired(now);
    const auto found = this->records.find(record_name(send));
    if (found != this->records.end())
    {
        return this->decide_recorded(found->second, send);
    }
    if (send.send_number == 1)
    {
        return this->start_record(send, 0, now);
    }
    // A later send arrived before the first one. This record, which is neither
    // running nor answered, keeps the first send from running when it arrives.
    this->start_record(send, 0, now);
    auto& blocking_record = this->records.at(record_name(send));
    blocking_record.running = false;
    return refuse_may_have_run(schema::refusal::duplicate);
}

void key_records::finish(const keyed_send& send, const schema::answer& answer)
{
    const auto found = this->records.find(record_name(send));
    if (found == this->records.end())
    {
        return;
    }
    auto& record = found->second;
    record.running = false;
    const auto verdict = static_cast<base::verdict>(answer.verdict);
    if (verdict == base::verdict::not_run)
    {
        // This home saw the only send that was allowed to run, and it did not
        // run, so no other send can have run.
        record.rerun_allowed = true;
        return;
    }
    record.answer = answer;
    this->answer_bytes += answer.body.size();
    while (this->answer_bytes > max_answer_bytes && !this->by_age.empty())
    {
        this->drop_oldest();
    }
}

std::size_t key_records::size() const
{
    return this->records.size();
}

std::string key_records::record_name(const keyed_send& send)
{
    return send.service + '/' + send.key;
}

key_decision
key_records::decide_recorded(record& existing, const keyed_send& send)
{
    if (existing.digest != send.digest)
    {
        return refuse_send{
            base::verdict::not_run, schema::refusal::key_mismatch};
    }
    if (existing.rerun_allowed)
    {
        existing.rerun_allowed = false;
        existing.running = true;
        return run_now{};
    }
    if (existing.running)
    {
        return join_running{};
    }
    if (existing.answer)
    {
        return answer_recorded{*existing.answer};
    }
    return refuse_may_have_run(schema::refusal::duplicate);
}

key_decision key_records::start_record(
    const keyed_send& send, std::uint64_t sequence, base::time_ms now)
{
    record new_record;
    new_record.digest = send.digest;
    new_record.sequence = sequence;
    new_record.running = true;
    new_record.created = now;
    this->records.emplace(record_name(send), std::move(new_record));
    this->by_age.push_back(record_name(send));
    while (this->records.size() > this->capacity)
    {
        this->drop_oldest();
    }
    return run_now{};
}

void key_records::drop_expired(base::time_ms now)
{
    while (!this->checkpoints.empty() &&
           now - this->checkpoints.front().issued > this->lifetime)
    {
        this->checkpoints.pop_front();
        this->lowest_valid_sequence = std::max(
            this->lowest_valid_sequence,
            this->checkpoints.empty() ? this->next_sequence
                                      : this->checkpoints.front().sequence);
    }
    while (!this->by_age.empty())
    {
        const auto found = this->records.find(this->by_age.front());
        // A record is kept for one lifetime after its key stopped being valid.
        if (found != this->records.end() &&
            now - found->second.created <= this->lifetime * 2)
        {
            return;
        }
        this->drop_oldest();
    }
}

void key_records::drop_oldest()
{
    const auto found = this->records.find(this->by_age.front());
    this->by_age.pop_front();
    if (found == this->records.end())
    {
        return;
    }
    this->lowest_valid_sequence =
        std::max(this->lowest_valid_sequence, found->second.sequence + 1);
    if (found->second.answer)
    {
        this->answer_bytes -= found->second.answer->body.size();
    }
    this->records.erase(found);
}
} // namespace bilberrytally::decisions
