#include <geraniumdoor/serving/send_account.hpp>

namespace geraniumdoor::serving
{

bool record_statement(send_account& account, std::optional<requests_per_s> limit,
                      bool may_end_limit, time_point sent_at, time_point now)
{
    limit_statement& known = account.m_statement;
    const bool ends_limit = known.m_limit && may_end_limit && sent_at > known.m_stated_at;
    if (!limit && !ends_limit)
    {
        return false;
    }
    const bool changed = known.m_limit != limit;
    known = {limit, now, true};
    return changed;
}

} // namespace geraniumdoor::serving
