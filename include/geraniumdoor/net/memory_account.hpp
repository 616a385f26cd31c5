#pragma once

#include <geraniumdoor/base/strong_id.hpp>
#include <geraniumdoor/base/units.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace geraniumdoor
{

/// Memory for what a process holds for its peers.
struct memory_limits
{
    /// Bytes of all holders together; zero for no limit.
    std::size_t m_total_bytes = 0;
    /// Part of it that only small holders may use.
    std::size_t m_small_reserve_bytes = 0;
};

/// What a listener is for. Each purpose has a part of the machine's memory, so that a
/// crowd at one listener takes nothing from the others.
enum class memory_purpose : std::uint8_t
{
    /// Callers' requests, the answers to them, and questions for addresses.
    callers,
    /// Messages of other hosts.
    peers,
    /// Checks, metrics and operators.
    control,
};

/// Limits for a process on a machine with that memory; none if it is zero.
memory_limits memory_limits_of(std::size_t machine_bytes,
                               memory_purpose purpose = memory_purpose::callers);

/// Holders up to this size count as small.
inline constexpr std::size_t max_small_bytes = std::size_t{64} * 1024;

/// What an open connection takes without a request: its socket, timers and coroutines,
/// and the buffer for the first bytes.
inline constexpr std::size_t connection_bytes = std::size_t{8} * 1024;

/// What a field of a head takes besides its text: entries of lists, and the memory of
/// name and value.
inline constexpr std::size_t head_field_bytes = 160;

/// Bytes that a peer has to send to count as making progress, and time without progress
/// after which it stands still. 4 KiB in a second are 0.03 Mbit/s.
inline constexpr std::size_t min_progress_bytes = std::size_t{4} * 1024;
inline constexpr milliseconds max_still_time{1000};

using memory_holder_id = strong_number<struct memory_holder_tag>;

/// What a holder waits for.
enum class holder_phase : std::uint8_t
{
    /// Works by itself, and is not closed for others.
    busy,
    /// Receives, so that its connection may be closed.
    receiving,
    /// Waits between two requests, so that its connection may be closed.
    idle,
};

struct memory_holder
{
    std::size_t m_bytes = 0;
    /// Bytes received when the peer last made progress.
    std::size_t m_marked_bytes = 0;
    time_point m_progress_at{};
    holder_phase m_phase = holder_phase::busy;
};

/// What is held, by holder.
struct memory_account
{
    memory_limits m_limits;
    std::map<memory_holder_id, memory_holder> m_holders;
    std::size_t m_held_bytes = 0;
};

enum class memory_verdict : std::uint8_t
{
    granted,
    refused,
    /// Granted once the connection of another holder is closed.
    close_other,
};

struct memory_decision
{
    memory_verdict m_verdict = memory_verdict::granted;
    memory_holder_id m_other;
};

/// Decides whether a holder may hold that many bytes in all, and counts them if so.
///
/// Load pattern: many peers that send heads, bodies, chunk extensions or trailers at
/// once, of announced or of unknown length, most of which stop just short of the end and
/// stay connected. Peers that stand still in a request are closed before any that makes
/// progress is refused, the longest one first, and then those that are idle. A part is
/// kept for small holders. A single large body is granted whatever the limits.
memory_decision request_memory(memory_account& account, memory_holder_id holder,
                               std::size_t bytes, time_point now);

/// Decides whether a holder may hold that many bytes in all, which it can do without, and
/// counts them if so. They leave the reserve to small holders, and close nobody.
bool request_spare_memory(memory_account& account, memory_holder_id holder,
                          std::size_t bytes);

/// Records how many bytes a peer has sent so far.
void record_received(memory_account& account, memory_holder_id holder, std::size_t bytes,
                     time_point now);

/// Returns what a holder holds.
void release_memory(memory_account& account, memory_holder_id holder);

/// A connection as seen when there is no room for another one.
struct waiting_peer
{
    /// A request is expected, or has arrived in part.
    bool m_is_receiving = false;
    /// Waits between two requests.
    bool m_is_idle = false;
    time_point m_still_since{};
};

/// Returns the connection to close for a new one: that which has stood still for longest
/// in a request, or between two if there is none; empty if all make progress.
///
/// Load pattern: a crowd opens all connections that a host accepts and keeps them.
std::optional<std::size_t> connection_to_close(const std::vector<waiting_peer>& peers,
                                               time_point now);

/// Account of a process, with the connections that may be closed. Used from one thread.
struct memory_pool
{
    explicit memory_pool(memory_limits limits)
    {
        m_account.m_limits = limits;
    }

    memory_account m_account;
    std::map<memory_holder_id, std::function<void()>> m_closers;
    std::uint64_t m_last_id = 0;
    /// Numbers of holders that were refused, and closed for others.
    std::uint64_t m_refused = 0;
    std::uint64_t m_closed = 0;
};

/// Bytes that something holds, returned when it goes.
class memory_lease
{
public:
    memory_lease() = default;

    /// @param close closes the connection of the holder while it receives or is idle;
    /// empty if it has none to close
    memory_lease(std::shared_ptr<memory_pool> pool, std::function<void()> close);
    ~memory_lease();
    memory_lease(memory_lease&& other) noexcept;
    memory_lease& operator=(memory_lease&& other) noexcept;
    memory_lease(const memory_lease&) = delete;
    memory_lease& operator=(const memory_lease&) = delete;

    /// Asks for a number of bytes in all. Closes others where that is decided.
    /// @return whether they are granted
    bool resize(std::size_t bytes);

    /// Asks for a number of bytes in all that the holder can do without.
    /// @return whether they are granted
    bool extend(std::size_t bytes);

    /// @param bytes received since the holder has entered its phase
    void record_received(std::size_t bytes);

    void enter(holder_phase phase);

    void release();

private:
    std::shared_ptr<memory_pool> m_pool;
    memory_holder_id m_id;
};

} // namespace geraniumdoor
