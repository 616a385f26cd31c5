#pragma once

#include "crowd_callers.hpp"
#include "crowd_process.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumdoor::test
{

/// The listeners of an entry daemon, as offsets from the first port of the test.
enum class entry_port : std::uint16_t
{
    callers = 1,
    admin = 2,
    peers = 3,
};

/// An entry daemon that is told that its machine is small, without platform and other
/// hosts, and a crowd of callers.
class entry_story
{
public:
    static constexpr std::size_t memory_mb = 32;
    static constexpr std::size_t open_files = 300;
    static constexpr std::size_t header_limit = 65536;
    static constexpr std::size_t body_limit = std::size_t{1024} * 1024;

    /// @param first_port first of the 10 ports of the test
    explicit entry_story(std::uint16_t first_port);

    /// Sends what each caller of the plan sends, and stays connected.
    void begin(const crowd_plan& plan, entry_port port = entry_port::callers);

    /// Sends these bytes on connections of their own, and stays connected.
    void send_bytes(const std::vector<std::string>& texts, entry_port port);

    crowd_process& host()
    {
        return m_host;
    }

    /// Status of a request for addresses; zero without an answer.
    unsigned send_ordinary() const;

    /// Status of a pipeline's request with a body just inside the limits.
    unsigned send_large() const;

    /// Status of an operator's health check.
    unsigned ask_health() const;

private:
    boost::asio::ip::tcp::endpoint place_of(entry_port port) const;

    std::uint16_t m_first_port;
    crowd_process m_host;
    crowd_callers m_callers;
};

} // namespace geraniumdoor::test
