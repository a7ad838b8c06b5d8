#include "node/internal/target_side.hpp"

// The part of target_side that shows its state to operators.
namespace bilberrytally::node
{
schema::load_report target_side::load(base::time_ms now)
{
    return this->inbound.with([&](inbound_table& table)
                              { return table.admission.report(now); });
}

std::size_t target_side::call_count()
{
    return this->inbound.with([](inbound_table& table)
                              { return table.calls.size(); });
}

std::string_view target_side::to_string(call_state state)
{
    switch (state)
    {
    case call_state::waiting:
        return "waiting";
    case call_state::on_hold:
        return "on_hold";
    case call_state::running:
        return "running";
    case call_state::checking_backend:
        return "probing";
    }
    return "unknown";
}

std::vector<inbound_call_view> target_side::view()
{
    const auto now = base::now();
    return this->inbound.with(
        [&](inbound_table& table)
        {
            std::vector<inbound_call_view> rows;
            rows.reserve(table.calls.size());
            for (const auto& [id, call] : table.calls)
            {
                rows.push_back(
                    {id, call.message.root, call.message.path,
                     to_string(call.state), call.message.priority,
                     call.message.depth, now - call.arrived});
            }
            return rows;
        });
}

std::vector<decisions::quarantine_view> target_side::quarantined()
{
    return this->inbound.with([](inbound_table& table)
                              { return table.quarantine.view(base::now()); });
}
} // namespace bilberrytally::node
