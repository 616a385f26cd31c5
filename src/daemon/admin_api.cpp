#include "answer_document.hpp"
#include "entry_node.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/json.hpp>

#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

http_response text_response(unsigned status, std::string_view type, std::string body)
{
    http_response response;
    response.m_status = status;
    response.m_fields.emplace_back("Content-Type", type);
    response.m_body = std::move(body);
    return response;
}

http_response json_response(unsigned status, const json::value& body)
{
    return text_response(status, "application/json", json::serialize(body));
}

std::string to_text_address(const node_address& address)
{
    return address.m_ip + ':' + std::to_string(address.m_port);
}

json::object host_row(const member_update& member)
{
    json::object row;
    row["id"] = member.m_node.m_value;
    row["incarnation"] = member.m_incarnation.m_value;
    row["state"] = to_text(member.m_state);
    row["data_centre"] = member.m_data_centre.m_value;
    row["region"] = member.m_region.m_value;
    row["caller_address"] = to_text_address(member.m_caller);
    row["admin_address"] = to_text_address(member.m_admin);
    row["free_capacity"] = member.m_free_capacity;
    return row;
}

json::object upstream_row_document(const upstream_row& row, time_point now)
{
    json::object document;
    document["id"] = row.m_record.m_id.m_value;
    document["pool"] = row.m_record.m_pool.m_value;
    document["data_centre"] = row.m_record.m_data_centre.m_value;
    document["owned"] = row.m_authority_until > now;
    document["limit"] = row.m_limit.m_limit;
    document["outstanding"] = row.m_outstanding;
    document["leaving"] = row.m_record.m_leaving || row.m_reported_leaving;
    document["data_centre_out"] = row.m_data_centre_out;
    return document;
}

} // namespace

std::string entry_node::encode_address_answer()
{
    const auto is_out = [this](const data_centre_id& id)
    {
        const data_centre_config* row = find_data_centre(m_coordinator.m_config, id);
        return row != nullptr && row->m_state == data_centre_state::out;
    };
    const auto answer =
        make_address_answer(m_addresses, live_members(m_membership), is_out, m_random);
    json::array rows;
    for (const auto& address : answer.m_addresses)
    {
        json::object row;
        row["ip"] = address.m_address.m_ip;
        row["port"] = address.m_address.m_port;
        row["data_centre"] = address.m_data_centre.m_value;
        rows.push_back(std::move(row));
    }
    json::object document;
    document["keep_s"] = answer.m_keep.count();
    document["addresses"] = std::move(rows);
    return json::serialize(document);
}

http_response entry_node::hosts_response() const
{
    json::array rows;
    for (const auto& member : live_members(m_membership))
    {
        rows.push_back(host_row(member));
    }
    json::object document;
    document["node"] = m_settings.m_node.m_value;
    document["config_version"] = version_of(m_config).m_value;
    document["hosts"] = std::move(rows);
    return json_response(200, document);
}

http_response entry_node::upstreams_response() const
{
    json::array rows;
    for (const auto& entry : m_dispatcher.m_upstreams)
    {
        rows.push_back(upstream_row_document(entry.m_row, m_timers.now()));
    }
    json::object document;
    document["node"] = m_settings.m_node.m_value;
    document["upstreams"] = std::move(rows);
    return json_response(200, document);
}

asio::awaitable<http_response> entry_node::in_doubt_response()
{
    std::string prefix{claim_prefix};
    auto scanned = co_await m_table.scan(std::move(prefix));
    if (!is_ok(scanned))
    {
        error_document error;
        error.m_code = "table_service_unavailable";
        error.m_message = "the claims cannot be read: " + error_of(scanned).m_detail;
        error.m_retry_after = milliseconds{1000};
        co_return text_response(503, "application/json", encode_error(error));
    }
    note_claims(value_of(scanned));
    json::array rows;
    for (const auto& claim : list_in_doubt(value_of(scanned), live_processes()))
    {
        json::object row;
        row["key"] = claim.m_key;
        row["holder"] = claim.m_row.m_holder.m_value;
        row["attempt"] = claim.m_row.m_attempt.m_value;
        row["created"] = claim.m_row.m_created_unix_s;
        row["holder_gone"] = claim.m_holder_gone;
        rows.push_back(std::move(row));
    }
    json::object document;
    document["in_doubt"] = std::move(rows);
    co_return json_response(200, document);
}

/// Passes the counts of the coordinator since the start on to the metrics.
void entry_node::expose_counters()
{
    const auto set_bytes = [this](const char* channel, std::uint64_t bytes)
    {
        m_metrics.set("gd_control_bytes", {{"channel", channel}},
                      static_cast<double>(bytes));
    };
    set_bytes("to_hosts", m_transport.bytes_sent());
    set_bytes("to_platform_and_upstreams",
              m_http.bytes_sent() + m_upstream_http.bytes_sent());
    set_bytes("from_platform_and_upstreams",
              m_http.bytes_received() + m_upstream_http.bytes_received());
    const auto set_memory = [this](const char* purpose, const memory_pool& memory)
    {
        const metric_labels labels{{"purpose", purpose}};
        m_metrics.set("gd_memory_held_bytes", labels,
                      static_cast<double>(memory.m_account.m_held_bytes));
        m_metrics.set_count("gd_memory_refused_total", labels,
                            static_cast<double>(memory.m_refused));
        m_metrics.set_count("gd_memory_closed_total", labels,
                            static_cast<double>(memory.m_closed));
    };
    set_memory("callers", *m_caller_memory);
    set_memory("operators", *m_control_memory);
    const coordinator_counters& counters = m_coordinator.m_counters;
    const std::pair<const char*, std::uint64_t> rows[] = {
        {"gd_first_attempts_total", counters.m_first_attempts},
        {"gd_retries_total", counters.m_retries},
        {"gd_hedges_total", counters.m_hedges},
        {"gd_stream_resumes_total", counters.m_resumes},
        {"gd_superseded_results_total", counters.m_superseded_results},
        {"gd_dropped_chunks_total", counters.m_dropped_chunks},
        {"gd_replayed_total", counters.m_replayed},
        {"gd_in_doubt_total", counters.m_in_doubt},
    };
    for (const auto& [name, count] : rows)
    {
        m_metrics.set_count(name, {}, static_cast<double>(count));
    }
}

std::string entry_node::exposition()
{
    m_metrics.set("gd_members", {}, static_cast<double>(live_count(m_membership)));
    m_metrics.set("gd_ready", {}, is_ready() ? 1 : 0);
    m_metrics.set("gd_config_version", {},
                  static_cast<double>(version_of(m_config).m_value));
    m_metrics.clear_gauge("gd_upstream_limit");
    m_metrics.clear_gauge("gd_upstream_outstanding");
    for (const auto& entry : m_dispatcher.m_upstreams)
    {
        if (entry.m_row.m_authority_until <= m_timers.now())
        {
            continue;
        }
        const metric_labels labels{{"upstream", entry.m_id.m_value}};
        m_metrics.set("gd_upstream_limit", labels, entry.m_row.m_limit.m_limit);
        m_metrics.set("gd_upstream_outstanding", labels, entry.m_row.m_outstanding);
    }
    expose_counters();
    return m_metrics.exposition();
}

asio::awaitable<void> entry_node::serve_admin(http_exchange& exchange)
{
    const auto self = shared_from_this();
    const http_request& request = exchange.request();
    const bool get = request.m_method == "GET";
    http_response response;
    if (get && request.m_target == "/healthz")
    {
        response = text_response(200, "text/plain", "ok\n");
    }
    else if (get && request.m_target == "/readyz")
    {
        response = text_response(is_ready() ? 200 : 503, "text/plain",
                                 std::string{readiness()} + '\n');
    }
    else if (get && request.m_target == "/metrics")
    {
        response = text_response(200, "text/plain; version=0.0.4", exposition());
    }
    else if (get && request.m_target == "/admin/hosts")
    {
        response = hosts_response();
    }
    else if (get && request.m_target == "/admin/upstreams")
    {
        response = upstreams_response();
    }
    else if (get && request.m_target == "/admin/in-doubt")
    {
        response = co_await in_doubt_response();
    }
    else
    {
        response = co_await config_response(request);
    }
    co_await exchange.respond(std::move(response));
}

} // namespace geraniumdoor
