#include "standins/load_plan.hpp"

#include <fstream>
#include <nlohmann/json.hpp>

namespace bilberrytally::standins
{
namespace
{
load_class to_class(const nlohmann::json& json)
{
    load_class item;
    item.name = json.at("name");
    item.service = json.at("service");
    item.method = json.value("method", item.method);
    item.path = json.value("path", item.path);
    item.rate = json.at("rate");
    item.timeout_ms = json.value("timeout_ms", item.timeout_ms);
    item.keyed = json.value("keyed", item.keyed);
    item.issued_key = json.value("issued_key", item.issued_key);
    item.resends = json.value("resends", item.resends);
    item.size = json.value("size", item.size);
    return item;
}
} // namespace

base::result<load_plan> load_plan::read(const std::string& file)
{
    try
    {
        std::ifstream stream(file);
        const auto json = nlohmann::json::parse(stream);
        load_plan plan;
        for (const auto& node : json.at("nodes"))
        {
            plan.nodes.push_back({node.at("host"), node.at("port")});
        }
        for (const auto& item : json.at("classes"))
        {
            plan.classes.push_back(to_class(item));
        }
        for (const auto& phase : json.at("phases"))
        {
            plan.phases.push_back({phase.at("seconds"), phase.at("factor")});
        }
        plan.seed = json.value("seed", plan.seed);
        plan.outcomes_path = json.value("outcomes", plan.outcomes_path);
        return plan;
    }
    catch (const nlohmann::json::exception& failure)
    {
        return base::fail(file, failure.what());
    }
}
} // namespace bilberrytally::standins
