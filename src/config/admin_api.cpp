#include "configuration_names.hpp"

#include <geraniumdoor/config/admin_api.hpp>
#include <geraniumdoor/config/configuration_document.hpp>

#include <boost/json/serialize.hpp>

#include <charconv>

namespace geraniumdoor
{

namespace
{

enum class change_kind : std::uint8_t
{
    workspace,
    pool,
    data_centre,
};

constexpr std::pair<std::string_view, change_kind> change_kind_rows[] = {
    {"workspace", change_kind::workspace},
    {"pool", change_kind::pool},
    {"data_centre", change_kind::data_centre},
};

std::optional<std::uint32_t> optional_count(object_reader& reader, std::string_view key,
                                            number_range range)
{
    const auto value = reader.number_or(key, range.m_min, range);
    return reader.has(key) ? std::optional{static_cast<std::uint32_t>(value)}
                           : std::nullopt;
}

void read_header(object_reader& reader, config_change& change)
{
    change.m_id.m_value = reader.id("change_id");
    change.m_operator = reader.id("operator");
    const std::uint64_t base = reader.number_or("base_version", 0, {0, UINT64_MAX});
    if (reader.has("base_version"))
    {
        change.m_base = config_version{base};
    }
}

set_workspace read_workspace(object_reader& reader)
{
    set_workspace body;
    body.m_workspace.m_value = reader.id("workspace");
    body.m_priority = optional_count(reader, "priority", {0, max_priority});
    body.m_weight = optional_count(reader, "weight", {1, max_weight});
    if (!body.m_priority && !body.m_weight)
    {
        reader.fault("weight", "at least one of priority and weight must be given");
    }
    return body;
}

set_pool_limits read_pool(object_reader& reader)
{
    set_pool_limits body;
    body.m_pool.m_value = reader.id("pool");
    body.m_cold_limit = optional_count(reader, "cold_limit", {1, max_upstream_limit});
    body.m_warm_limit = optional_count(reader, "warm_limit", {1, max_upstream_limit});
    if (!body.m_cold_limit && !body.m_warm_limit)
    {
        reader.fault("warm_limit",
                     "at least one of cold_limit and warm_limit must be given");
    }
    return body;
}

set_data_centre_state read_data_centre(object_reader& reader)
{
    set_data_centre_state body;
    body.m_data_centre.m_value = reader.id("data_centre");
    body.m_state = reader.name("state", data_centre_state_names);
    return body;
}

change_body read_body(object_reader& reader)
{
    switch (reader.name("kind", enum_names<change_kind>{change_kind_rows}))
    {
    case change_kind::workspace:
        return read_workspace(reader);
    case change_kind::pool:
        return read_pool(reader);
    case change_kind::data_centre:
        break;
    }
    return read_data_centre(reader);
}

replace_by_sheet read_sheet(object_reader& reader, document_faults& faults)
{
    const std::string text = reader.text("sheet", max_sheet_bytes, false);
    if (text.empty())
    {
        return {};
    }
    auto sheet = parse_sheet(text);
    if (is_ok(sheet))
    {
        return {value_of(std::move(sheet))};
    }
    for (const auto& fault : error_of(sheet))
    {
        const std::string row =
            fault.m_row == 0 ? "sheet" : "row " + std::to_string(fault.m_row);
        const std::string column =
            fault.m_column.empty() ? "" : ", column \"" + fault.m_column + '"';
        add_fault(faults, row + column, fault.m_message);
    }
    return {};
}

/// Parses the body and calls the function with its reader, the faults and the change.
template<class Function>
result<config_change, document_faults> decode(std::string_view body, Function read)
{
    const auto document = parse_document(body, max_admin_body_bytes);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    document_faults faults;
    config_change change;
    object_reader reader{value_of(document), "", faults};
    read_header(reader, change);
    read(reader, faults, change);
    reader.finish();
    if (!faults.empty())
    {
        return faults;
    }
    return change;
}

boost::json::object encode(const demand_shortfall& shortfall)
{
    return {{"row", shortfall.m_row},
            {"workspace", shortfall.m_workspace.m_value},
            {"pipeline", shortfall.m_pipeline.m_value},
            {"pool", shortfall.m_pool.m_value},
            {"wanted_per_s", shortfall.m_wanted_per_s},
            {"granted_per_s", shortfall.m_granted_per_s}};
}

boost::json::object encode(const urgent_state& state)
{
    return {{"data_centre", state.m_data_centre.m_value},
            {"state", to_text(state.m_state)},
            {"base_version", state.m_mark.m_base.m_value},
            {"counter", state.m_mark.m_counter},
            {"change_id", state.m_mark.m_change.m_value},
            {"operator", state.m_operator}};
}

} // namespace

result<config_change, document_faults> decode_change_request(std::string_view body)
{
    return decode(body,
                  [](object_reader& reader, document_faults&, config_change& change)
                  {
                      change.m_body = read_body(reader);
                  });
}

result<config_change, document_faults> decode_sheet_request(std::string_view body)
{
    return decode(
        body,
        [](object_reader& reader, document_faults& faults, config_change& change)
        {
            change.m_body = read_sheet(reader, faults);
        });
}

result<config_change, document_faults>
decode_state_request(std::string_view name, std::string_view state, std::string_view body)
{
    return decode(body,
                  [&](object_reader&, document_faults& faults, config_change& change)
                  {
                      if (!is_id(name))
                      {
                          add_fault(faults, "name", "must be the id of a data centre");
                      }
                      if (state != "in" && state != "out")
                      {
                          add_fault(faults, "state", "must be one of \"in\", \"out\"");
                      }
                      change.m_body =
                          set_data_centre_state{{std::string{name}},
                                                state == "out" ? data_centre_state::out
                                                               : data_centre_state::in};
                  });
}

result<forget_host_request, document_faults>
decode_forget_request(std::string_view node, std::string_view number, incarnation latest,
                      std::string_view body)
{
    const auto document = parse_document(body, max_admin_body_bytes);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    document_faults faults;
    forget_host_request request;
    object_reader reader{value_of(document), "", faults};
    request.m_operator = reader.id("operator");
    reader.finish();
    if (!is_id(node))
    {
        add_fault(faults, "node", "must be the name of a host");
    }
    request.m_node.m_value = node;
    const char* end = number.data() + number.size();
    std::uint64_t value = 0;
    const auto [stop, error] = std::from_chars(number.data(), end, value);
    if (error != std::errc{} || stop != end || value == 0 || value > latest.m_value)
    {
        add_fault(faults, "incarnation",
                  "must be a whole number from 1 to " + std::to_string(latest.m_value) +
                      ", the latest that the host can have");
    }
    request.m_incarnation.m_value = value;
    if (!faults.empty())
    {
        return faults;
    }
    return request;
}

std::string encode_change_report(const change_report& report)
{
    const change_refusal& refusal = report.m_refusal;
    const bool refused = report.m_outcome == change_outcome::refused;
    boost::json::object object{
        {"change_id", report.m_id.m_value},
        {"outcome", to_text(report.m_outcome)},
        {"version", report.m_version.m_value},
        {"message", refused ? refusal.m_message : report.m_message}};
    if (refused)
    {
        object["field"] = refusal.m_field;
    }
    if (!refusal.m_winner.m_value.empty())
    {
        object["winner"] = boost::json::object{{"change_id", refusal.m_winner.m_value},
                                               {"operator", refusal.m_winning_operator}};
    }
    boost::json::array shortfalls;
    for (const auto& shortfall : report.m_shortfalls)
    {
        shortfalls.push_back(encode(shortfall));
    }
    object["shortfalls"] = std::move(shortfalls);
    return boost::json::serialize(object);
}

unsigned status_of(const change_report& report)
{
    switch (report.m_outcome)
    {
    case change_outcome::accepted:
    case change_outcome::in_force_not_stored:
        return 200;
    case change_outcome::unknown:
        return 202;
    case change_outcome::refused:
        break;
    }
    return report.m_refusal.m_winner.m_value.empty() ? 422 : 409;
}

std::string encode_config_answer(const config_keeper& keeper)
{
    boost::json::array urgent;
    for (const auto& state : urgent_states(keeper))
    {
        urgent.push_back(encode(state));
    }
    boost::json::object object{{"version", version_of(keeper).m_value},
                               {"ready", is_ready(keeper)},
                               {"config", nullptr},
                               {"urgent", std::move(urgent)}};
    if (keeper.m_in_force != nullptr)
    {
        object["config"] = encode_configuration_object(*keeper.m_in_force);
    }
    return boost::json::serialize(object);
}

std::string encode_fault_answer(const document_faults& faults, std::string_view code)
{
    boost::json::array list;
    for (const auto& fault : faults)
    {
        list.push_back(
            boost::json::object{{"field", fault.m_path}, {"message", fault.m_message}});
    }
    const document_fault first = faults.empty() ? document_fault{} : faults.front();
    boost::json::object error{
        {"code", code},     {"field", first.m_path}, {"message", first.m_message},
        {"ran", "not_run"}, {"retry_after_ms", 0},   {"faults", std::move(list)}};
    return boost::json::serialize(boost::json::object{{"error", std::move(error)}});
}

} // namespace geraniumdoor
