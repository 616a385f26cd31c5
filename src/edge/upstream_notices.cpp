#include "upstream_notices.hpp"

#include <geraniumdoor/base/log.hpp>

#include <platform/exchange.hpp>

namespace geraniumdoor::edge
{

void apply_notice(edge_state& state, const upstream_id& upstream, unsigned status,
                  const http_fields& fields, time_point sent_at)
{
    auto* row = state.m_upstreams.m_rows.find(upstream);
    if (row == nullptr)
    {
        return;
    }
    const platform::upstream_notice notice = platform::read_notice(fields);
    constexpr unsigned first_error_status = 400;
    const bool may_end_limit = !notice.m_names_limit && status < first_error_status;
    if (serving::record_statement(row->m_sends, notice.m_limit, may_end_limit, sent_at,
                                  now()))
    {
        log_event line{"upstream_limit"};
        line.add("upstream", upstream).add("limited", notice.m_limit.has_value());
        if (notice.m_limit)
        {
            line.add("per_s", notice.m_limit->m_value);
        }
    }
    else if (notice.m_names_limit && !notice.m_limit)
    {
        log_event{"upstream_limit_unreadable"}.add("upstream", upstream);
    }
}

} // namespace geraniumdoor::edge
