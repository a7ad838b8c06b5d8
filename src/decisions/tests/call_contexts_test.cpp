#include "decisions/access_rule.hpp"
#include "decisions/call_contexts.hpp"
#include "decisions/unanswered_calls.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

using namespace bilberrytally;
using namespace bilberrytally::decisions;

namespace
{
call_context make_context(std::uint64_t root, base::time_ms deadline)
{
    call_context context;
    context.root = root;
    context.deadline = deadline;
    return context;
}
} // namespace

TEST_CASE("the context of an unanswered call is kept beyond its deadline")
{
    call_contexts contexts(10);
    const auto context = make_context(1, {5000});
    contexts.keep_unanswered("r", context, {1000});
    CHECK(contexts.find("r", {5001}) == context);
    CHECK_FALSE(contexts.find("other", {1000}));
    contexts.keep_unanswered("later", make_context(2, {90000}), {80000});
    CHECK_FALSE(contexts.find("r", {80000}));
    CHECK(contexts.size() == 1);
}

TEST_CASE("the answer to one attempt does not end what another one needs")
{
    call_contexts contexts(10);
    const auto context = make_context(1, {9000});
    contexts.keep_unanswered("r", context, {1000});
    contexts.keep_answered("r", context, {1100});
    CHECK(contexts.find("r", {8999}) == context);
}

// Guards against a final refusal of calls whose parent was dropped.
TEST_CASE("a table that has dropped a context says that it may lack one")
{
    call_contexts contexts(2);
    for (std::int64_t i = 1; i <= 3; ++i)
    {
        contexts.keep_unanswered(
            std::to_string(i),
            make_context(static_cast<std::uint64_t>(i), {i * 1000}), {0});
    }
    CHECK(contexts.size() == 2);
    CHECK_FALSE(contexts.find("1", {0}));
    CHECK(contexts.find("3", {0}));
    CHECK(contexts.may_lack({1000}));
    CHECK_FALSE(contexts.may_lack({60000}));
}

TEST_CASE("unanswered calls are told to the node that had them, and no longer "
          "than their deadline")
{
    unanswered_calls calls;
    const node_address one{"10.0.0.1", 7};
    const unanswered_call first{"s", "a", make_context(1, {1000})};
    const unanswered_call second{"s", "b", make_context(2, {2000})};
    calls.add(one, first);
    calls.add({"10.0.0.2", 7}, second);
    calls.add(one, second);
    CHECK(calls.sent_to(one, {500}) == std::vector{first, second});
    CHECK(calls.sent_to(one, {1000}) == std::vector{second});
    CHECK(calls.sent_to({"10.0.0.3", 7}, {500}).empty());
}

namespace
{
constexpr std::int64_t longest_timeout = 4000;
constexpr std::size_t caller_count = 2;
const node_address target_address{"10.0.0.9", 7};

//! A node and its backend server, the nodes that call it, and the connections
//! between them. The node is restarted, the server goes on.
class restarted_node_model
{
public:
    //! A call that was accepted somewhere, with its caller's node.
    struct accepted_call
    {
        std::size_t caller{0};
        call_context context;
        bool at_server{true};
        //! The caller's node has not heard that the call has ended.
        bool awaited{true};
        //! Nobody knew of it when the node was restarted.
        bool forgotten{false};
    };

    void pass(std::int64_t ms)
    {
        this->now = this->now + base::duration_ms{ms};
    }

    //! A caller's node sends a call over its connection.
    void send(std::size_t caller, std::int64_t timeout)
    {
        if (!this->connected[caller])
        {
            return;
        }
        const auto name = "r" + std::to_string(this->calls.size());
        call_context context;
        context.root = this->calls.size();
        context.priority = static_cast<std::uint32_t>(timeout % 4);
        context.workspace = "w" + std::to_string(caller);
        context.deadline = this->now + base::duration_ms{timeout};
        this->calls[name] = {caller, context};
        this->running[name] = context;
    }

    //! The server's response arrives at the node.
    void answer(const std::string& name)
    {
        auto& call = this->calls.at(name);
        call.at_server = false;
        if (this->running.count(name) > 0)
        {
            this->contexts.keep_answered(name, call.context, this->now);
            this->end(name);
        }
    }

    //! The call ends at the node, the server goes on.
    void cancel(const std::string& name)
    {
        if (this->running.count(name) > 0)
        {
            this->contexts.keep_unanswered(
                name, this->calls.at(name).context, this->now);
            this->end(name);
        }
    }

    void lose_connection(std::size_t caller)
    {
        for (const auto& [name, call] : this->calls)
        {
            if (this->connected[caller] && call.awaited &&
                call.caller == caller)
            {
                this->unanswered[caller].add(
                    target_address, {"s", name, call.context});
            }
        }
        this->connected[caller] = false;
    }

    //! A new connection; the message on it may be lost with it.
    void connect(std::size_t caller, bool message_arrives)
    {
        this->lose_connection(caller);
        this->connected[caller] = message_arrives;
        if (!message_arrives)
        {
            return;
        }
        for (const auto& call :
             this->unanswered[caller].sent_to(target_address, this->now))
        {
            this->contexts.keep_unanswered(
                call.request, call.context, this->now);
        }
    }

    void restart()
    {
        for (std::size_t caller = 0; caller < caller_count; ++caller)
        {
            this->lose_connection(caller);
        }
        for (auto& [name, call] : this->calls)
        {
            call.forgotten |= !call.awaited;
        }
        this->running.clear();
        this->contexts = call_contexts(1000);
        this->started = this->now;
    }

    std::optional<call_context> find(const std::string& name) const
    {
        const auto found = this->running.find(name);
        return found == this->running.end()
                   ? this->contexts.find(name, this->now)
                   : std::optional(found->second);
    }

    //! The decision on a nested call without a key that names this parent.
    access_decision decide(const std::string& name) const
    {
        const auto bound = unknown_parent_time({longest_timeout});
        access_question question;
        question.key_optional = this->find(name).has_value();
        question.parent_may_exist = this->now < this->started + bound ||
                                    this->contexts.may_lack(this->now);
        question.proof_age = base::duration_ms{0};
        return decide_access(question, access_limits::create({2500}, {5000}));
    }

    //! True if all callers' nodes are connected to the node.
    bool is_introduced() const
    {
        return this->connected[0] && this->connected[1];
    }

    base::time_ms now{100000};
    base::time_ms started;
    std::map<std::string, accepted_call> calls;

private:
    //! The call has ended at the node, which tells the caller's node so if they
    //! are connected.
    void end(const std::string& name)
    {
        auto& call = this->calls.at(name);
        this->running.erase(name);
        call.awaited &= !this->connected[call.caller];
    }

    std::map<std::string, call_context> running;
    call_contexts contexts{1000};
    std::array<unanswered_calls, caller_count> unanswered;
    std::array<bool, caller_count> connected{true, true};
};

//! A number from \p low to below \p high, of any size from the first run on.
template <class Number>
Number draw(Number low, Number high)
{
    return *rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<Number>(low, high));
}

void take_step(restarted_node_model& node)
{
    const auto caller = draw<std::size_t>(0, caller_count);
    const auto kind = draw(0, 8);
    node.pass(draw(0, 400));
    const auto pick = [&]
    {
        const auto index = draw<std::size_t>(0, node.calls.size());
        return std::next(node.calls.begin(), static_cast<std::ptrdiff_t>(index))
            ->first;
    };
    if (kind <= 2)
    {
        node.send(caller, draw<std::int64_t>(50, longest_timeout));
    }
    else if (kind == 3)
    {
        node.connect(caller, draw(0, 3) > 0);
    }
    else if (kind == 4)
    {
        node.lose_connection(caller);
    }
    else if (kind == 5)
    {
        node.restart();
    }
    else if (!node.calls.empty())
    {
        kind == 6 ? node.answer(pick()) : node.cancel(pick());
    }
}

//! Both sides: what the server still runs is never refused for good, and is
//! served with what it inherits once the callers' nodes are connected; what no
//! node has accepted is never served.
void check_nested_calls(const restarted_node_model& node)
{
    for (const auto& [name, call] : node.calls)
    {
        const bool at_work = call.at_server && node.now < call.context.deadline;
        if (!at_work)
        {
            continue;
        }
        const auto decision = node.decide(name);
        RC_ASSERT(decision != access_decision::unauthorized);
        if (node.is_introduced() && !call.forgotten)
        {
            RC_ASSERT(decision == access_decision::granted);
            RC_ASSERT(*node.find(name) == call.context);
        }
    }
    RC_ASSERT(node.decide("never sent") != access_decision::granted);
}
} // namespace

TEST_CASE("nested calls over restarts, lost connections and late messages")
{
    const bool holds = rc::check(
        []
        {
            restarted_node_model node;
            const auto steps = draw(1, 80);
            for (int i = 0; i < steps; ++i)
            {
                take_step(node);
                check_nested_calls(node);
            }
            node.pass(100000);
            RC_ASSERT(
                node.decide("never sent") == access_decision::unauthorized);
        });
    CHECK(holds);
}
