#include "base/hash.hpp"
#include "decisions/admission.hpp"
#include "decisions/dissemination_tree.hpp"
#include "decisions/document_store.hpp"
#include "decisions/key_records.hpp"
#include "decisions/target_table.hpp"
#include "transport/frame_codec.hpp"
#include "transport/message_codec.hpp"

#include <benchmark/benchmark.h>

//! Measures the cost of single decisions by the number of entries in their
//! tables.
namespace
{
using namespace bilberrytally;
using namespace bilberrytally::decisions;

constexpr base::duration_ms key_lifetime{600000};
constexpr std::int64_t far_deadline_ms = 1000000000;

admission_request make_request(std::uint64_t id)
{
    admission_request request;
    request.id = id;
    request.priority = static_cast<std::uint32_t>(id % priority_classes);
    request.root_hash = base::combine(id, 1);
    request.deadline = {far_deadline_ms};
    return request;
}

//! A policy under which no call leaves the queue because it waited too long.
schema::service_policy long_wait_policy()
{
    schema::service_policy policy;
    policy.slots = 140;
    policy.max_wait_ms = 60000;
    return policy;
}

//! One arrival and one completion while the given number of calls waits at a
//! target with 140 slots.
void admission_decision(benchmark::State& state)
{
    admission target(140);
    target.apply(long_wait_policy());
    std::uint64_t id = 0;
    const auto waiting = static_cast<std::uint64_t>(state.range(0));
    std::uint64_t oldest = 1;
    for (id = 1; id <= waiting + 140; ++id)
    {
        target.offer(make_request(id), {0});
    }
    std::vector<std::uint64_t> running;
    for (std::uint64_t i = 1; i <= 140; ++i)
    {
        running.push_back(i);
    }
    for (auto _ : state)
    {
        target.offer(make_request(++id), {1});
        const auto actions = target.finish(
            running[oldest % running.size()], completion::served, {1}, {1});
        if (!actions.start.empty())
        {
            running[oldest % running.size()] = actions.start.front();
        }
        ++oldest;
    }
    state.counters["waiting"] = static_cast<double>(target.waiting());
}

//! Choice, dispatch and result of a call with the given number of targets.
void target_choice(benchmark::State& state)
{
    target_table table("self", "z0");
    schema::instance_list list{1, "s", {}};
    for (std::int64_t i = 0; i < state.range(0); ++i)
    {
        list.instances.push_back(
            {"i" + std::to_string(i), "z" + std::to_string(i % 6), "127.0.0.1",
             1, schema::instance_state::live});
    }
    table.apply(list, {0});
    std::mt19937_64 random(1);
    for (auto _ : state)
    {
        const auto chosen = table.choose({}, random, {1});
        table.on_dispatch(chosen->instance, {1});
        table.on_result(chosen->instance, {true, false, false, {1}, {}}, {2});
    }
}

//! First send and end of a call with an idempotency key, with the given number
//! of records.
void key_record(benchmark::State& state)
{
    key_records records(static_cast<std::size_t>(state.range(0)), key_lifetime);
    schema::answer answer;
    std::uint64_t i = 0;
    const auto run_one = [&]
    {
        const keyed_send send{"key-" + std::to_string(++i), "service", i, 1};
        records.on_client_key(send, {1});
        records.finish(send, answer);
    };
    for (std::int64_t n = 0; n < state.range(0); ++n)
    {
        run_one();
    }
    for (auto _ : state)
    {
        run_one();
    }
}

document make_ticket(std::uint64_t number, const std::string& service)
{
    document ticket;
    ticket.text = service + std::to_string(number);
    ticket.number = number;
    ticket.digest = base::hash(ticket.text);
    schema::service_policy policy;
    policy.name = service;
    ticket.content = schema::ticket{number, "", {policy}};
    return ticket;
}

//! Merge of a newer ticket of one service, with the given number of services.
void ticket_merge(benchmark::State& state)
{
    document_store store;
    const auto count = static_cast<std::uint64_t>(state.range(0));
    for (std::uint64_t i = 0; i < count; ++i)
    {
        store.merge(make_ticket(i + 1, "s" + std::to_string(i)));
    }
    std::uint64_t number = count;
    const std::string service = "s" + std::to_string(count / 2);
    for (auto _ : state)
    {
        state.PauseTiming();
        const auto ticket = make_ticket(++number, service);
        state.ResumeTiming();
        benchmark::DoNotOptimize(store.merge(ticket));
    }
}

//! Children of a node in the dissemination tree of a document, in a zone of the
//! given size.
void spread_tree(benchmark::State& state)
{
    std::vector<std::string> members;
    for (std::int64_t i = 0; i < state.range(0); ++i)
    {
        members.push_back("instance-" + std::to_string(i));
    }
    std::uint64_t digest = 0;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(
            dissemination_children(members, members.front(), ++digest, false));
    }
}

//! Encoding, sealing, verification and decoding of a call with a body of the
//! given size in bytes.
void frame_round_trip(benchmark::State& state)
{
    transport::frame_codec codec("a key of the fleet");
    schema::call call;
    call.service = "freshcheck";
    call.method = "GET";
    call.path = "/batches/1234567";
    call.headers = {{"accept", "application/json"}};
    call.body = std::string(static_cast<std::size_t>(state.range(0)), 'b');
    for (auto _ : state)
    {
        const auto body = transport::encode(call);
        transport::frame_header header;
        header.length =
            static_cast<std::uint32_t>(body.size() + call.body.size());
        header.payload = static_cast<std::uint32_t>(call.body.size());
        const auto bytes = codec.seal(header, body, call.body);
        benchmark::DoNotOptimize(codec.verify(bytes, body, call.body));
        benchmark::DoNotOptimize(transport::decode<schema::call>(body));
    }
}

BENCHMARK(admission_decision)->Arg(100)->Arg(1000)->Arg(9000);
BENCHMARK(target_choice)->Arg(100)->Arg(10000)->Arg(100000);
BENCHMARK(key_record)->Arg(100)->Arg(10000)->Arg(100000);
BENCHMARK(ticket_merge)->Arg(100)->Arg(10000)->Arg(100000);
BENCHMARK(spread_tree)->Arg(100)->Arg(1000)->Arg(2667);
BENCHMARK(frame_round_trip)->Arg(0)->Arg(4096)->Arg(1 << 20);
} // namespace

BENCHMARK_MAIN();
