#include "entry_node.hpp"

#include <geraniumdoor/daemon/entry_daemon.hpp>

#include <utility>

namespace geraniumdoor
{

entry_daemon::entry_daemon(boost::asio::io_context& io, daemon_settings settings,
                           incarnation started)
    : m_node{std::make_shared<entry_node>(io, std::move(settings), started)}
{
}

entry_daemon::~entry_daemon()
{
    m_node->halt();
}

void entry_daemon::start()
{
    m_node->start();
}

void entry_daemon::begin_stop(std::function<void()> on_stopped)
{
    m_node->begin_stop(std::move(on_stopped));
}

} // namespace geraniumdoor
