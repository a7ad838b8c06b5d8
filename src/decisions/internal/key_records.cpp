#include "decisions/key_records.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! Bound of the total size of recorded answer bodies.
constexpr std::size_t max_answer_bytes = 32U << 20U;
//! Least time between two checkpoints of issued keys.
constexpr base::duration_ms mark_interval{1000};

refuse_send maybe_ran(schema::refusal reason)
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
    if (this->marks.empty() || now - this->marks.back().issued >= mark_interval)
    {
        this->marks.push_back({this->next_sequence, now});
    }
    return this->next_sequence++;
}

key_decision key_records::on_issued(
    std::uint64_t sequence, const keyed_send& send, base::time_ms now)
{
    this->drop_old(now);
    const auto found = this->records.find(name(send));
    if (found != this->records.end())
    {
        return this->decide_known(found->second, send);
    }
    if (sequence >= this->next_sequence)
    {
        return refuse_send{
            base::verdict::not_run, schema::refusal::key_unknown};
    }
    if (sequence < this->lowest_valid)
    {
        return maybe_ran(schema::refusal::key_unknown);
    }
    return this->open(send, sequence, now);
}

key_decision key_records::on_own(const keyed_send& send, base::time_ms now)
{
    this->drop_old(now);
    const auto found = this->records.find(name(send));
    if (found != this->records.end())
    {
        return this->decide_known(found->second, send);
    }
    if (send.send_number == 1)
    {
        return this->open(send, 0, now);
    }
    // A later send arrived before the first one. The tombstone keeps the first
    // send from running when it arrives.
    this->open(send, 0, now);
    auto& tombstone = this->records.at(name(send));
    tombstone.running = false;
    return maybe_ran(schema::refusal::duplicate);
}

void key_records::finish(const keyed_send& send, const schema::answer& answer)
{
    const auto found = this->records.find(name(send));
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
        record.freed = true;
        return;
    }
    record.answer = answer;
    this->answer_bytes += answer.body.size();
    while (this->answer_bytes > max_answer_bytes && !this->by_age.empty())
    {
        this->drop_front();
    }
}

std::size_t key_records::size() const
{
    return this->records.size();
}

std::string key_records::name(const keyed_send& send)
{
    return send.service + '/' + send.key;
}

key_decision key_records::decide_known(record& known, const keyed_send& send)
{
    if (known.digest != send.digest)
    {
        return refuse_send{
            base::verdict::not_run, schema::refusal::key_mismatch};
    }
    if (known.freed)
    {
        known.freed = false;
        known.running = true;
        return run_now{};
    }
    if (known.running)
    {
        return join_running{};
    }
    if (known.answer)
    {
        return answer_recorded{*known.answer};
    }
    return maybe_ran(schema::refusal::duplicate);
}

key_decision key_records::open(
    const keyed_send& send, std::uint64_t sequence, base::time_ms now)
{
    record fresh;
    fresh.digest = send.digest;
    fresh.sequence = sequence;
    fresh.running = true;
    fresh.created = now;
    this->records.emplace(name(send), std::move(fresh));
    this->by_age.push_back(name(send));
    while (this->records.size() > this->capacity)
    {
        this->drop_front();
    }
    return run_now{};
}

void key_records::drop_old(base::time_ms now)
{
    while (!this->marks.empty() &&
           now - this->marks.front().issued > this->lifetime)
    {
        this->marks.pop_front();
        this->lowest_valid = std::max(
            this->lowest_valid, this->marks.empty()
                                    ? this->next_sequence
                                    : this->marks.front().sequence);
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
        this->drop_front();
    }
}

void key_records::drop_front()
{
    const auto found = this->records.find(this->by_age.front());
    this->by_age.pop_front();
    if (found == this->records.end())
    {
        return;
    }
    this->lowest_valid =
        std::max(this->lowest_valid, found->second.sequence + 1);
    if (found->second.answer)
    {
        this->answer_bytes -= found->second.answer->body.size();
    }
    this->records.erase(found);
}
} // namespace bilberrytally::decisions
